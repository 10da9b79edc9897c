#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/confirmation_message.h"
#include "gypsumhub/decision/selection/confirmation_timing.h"

#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// A node that may be asked for the age of its confirmation.
struct confirmation_source {
    std::string_view name;
    bool isLocal { false };
    /// The node sends hellos to this one.
    bool hasHello { false };
    /// By its latest hello, or `unconfirmedAge` if that states none.
    duration age { unconfirmedAge };
};

/// Decides which node is asked when for the age of its confirmation of the configuration.
///
/// Answers the load of a fleet in which two nodes watch the configuration and all others must know that nothing has changed, while nodes fail and
/// datagrams are lost. What a node is asked does not grow with the fleet, since all nodes with a low age answer. A node that no answer helps
/// asks others and at last the store.
class confirmation_inquiry {
public:
    /// What is known when the next step is chosen.
    struct situation {
        /// Of this node's confirmation.
        duration age { unconfirmedAge };
        /// This node watches the configuration in the store.
        bool isWatching { false };
        /// The first node of a data centre that receives its changes from another one; its local nodes know no more than it does.
        bool hasRemoteUpstream { false };
    };

    enum class step_kind : uint8_t {
        Wait,
        AskNode,
        AskStore,
    };
    struct step {
        step_kind kind { step_kind::Wait };
        std::string node {};
        uint64_t ticket { 0 };
    };

    explicit confirmation_inquiry(uint64_t seed, const confirmation_timing& = {});

    /// The step to take now. To be called again at `dueAt`.
    auto next(const situation&, std::span<const confirmation_source>, time_point now) -> step;
    auto dueAt() const -> time_point { return m_dueAt; }
    /// Returns when the request with this ticket was sent, or nullopt for an unknown one.
    auto sentAt(uint64_t ticket) const -> std::optional<time_point>;
    /// Records the answer to a request, with the age of this node's confirmation after it.
    auto recordAnswer(uint64_t ticket, duration age, time_point now) -> void;
    /// Asks at once, unless requests have been in vain already.
    auto hasten(time_point now) -> void;
    /// Whether a confirmation is likely to arrive within a moment: requests have not been in vain for long.
    auto isUnderWay(time_point now) const -> bool;

private:
    enum class tier : uint8_t {
        Near,
        OtherDataCentres,
        Store,
    };
    struct request {
        uint64_t ticket;
        time_point sentAt;
    };

    static constexpr auto tiers = std::to_array<tier>({ tier::Near, tier::Near, tier::OtherDataCentres, tier::OtherDataCentres, tier::Store });

    /// Returns an empty name when there is none.
    auto choose(tier, const situation&, std::span<const confirmation_source>) -> std::string_view;
    /// Whether this node's confirmation, of this age, comes from its latest read of the store.
    auto isFromOwnRead(duration age, time_point now) const -> bool;
    /// `age` is that of this node's confirmation.
    auto endRound(duration age, time_point now) -> void;
    auto send(time_point now, std::string_view node) -> step;

    confirmation_timing m_timing;
    random_generator m_random;
    time_point m_dueAt {};
    /// Index into `tiers` of the next request of this round.
    size_t m_attempt { 0 };
    /// Nodes that were asked in this round.
    std::vector<std::string> m_asked;
    /// The latest requests, oldest first. A late answer counts as well.
    std::vector<request> m_requests;
    /// The first request since an answer helped.
    std::optional<time_point> m_inVainSince;
    time_point m_nextStoreCall {};
    std::optional<time_point> m_storeCalledAt;
};

} // namespace gypsumhub
