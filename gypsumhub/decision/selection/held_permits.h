#pragma once

#include "gypsumhub/decision/selection/permit_message.h"

#include <deque>
#include <map>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The permits that this node holds for targets that state a limit, and its requests for more. A request to such a target consumes a
/// permit, whatever becomes of it. A permit that is not used in time is lost.
class held_permits {
public:
    /// What to ask the issuer of a target for.
    struct demand {
        std::string target;
        uint64_t ticket { 0 };
        uint32_t count { 0 };
        /// How many of the preceding requests in a row were not answered.
        uint32_t unanswered { 0 };
    };

    /// `firstTicket` differs between starts of a node, so that answers to an earlier process match nothing.
    explicit held_permits(uint64_t firstTicket = 1);

    /// Whether a request may be sent to the target now.
    auto has(std::string_view target, time_point now) const -> bool;
    /// Uses the permit that ends first. Returns until when the request must be sent.
    auto consume(std::string_view target, time_point now) -> time_point;
    /// Until when asking is of no use: the issuer has denied permits, or did not answer.
    auto deniedUntil(std::string_view target) const -> time_point;
    /// The permits per second that this node can expect: the limit of the target, or what was granted lately if some were denied.
    auto expectedRate(const target_limit&, time_point now) const -> double;

    /// Records that a request would be placed at the target with a permit, and how many requests wait for one.
    auto recordDemand(std::string_view target, size_t waiting) -> void;
    /// The demands that are due. Counts them as asked for at `now`.
    auto takeDemands(time_point now) -> std::vector<demand>;
    /// Takes the answer to the latest request for this target. Ignores others.
    auto recordGrant(const permit_grant&, time_point now) -> bool;
    /// Forgets the target, which has no limit any more.
    auto forget(std::string_view target) -> void;
    /// Gives up requests that were not answered, and forgets targets that were not asked for lately.
    auto expire(time_point now) -> void;

    /// How long a permit is valid, from the time of asking.
    static constexpr auto lifetime = milliseconds(500);
    /// Permits in one request.
    static constexpr auto maxCount = uint32_t { 64 };

private:
    /// Permits that were granted together.
    struct batch {
        uint32_t count { 0 };
        time_point validUntil;
    };

    struct holding {
        std::deque<batch> batches;
        uint32_t demanded { 0 };
        /// The request in flight; 0 for none.
        uint64_t ticket { 0 };
        uint32_t askedFor { 0 };
        time_point askedAt {};
        time_point deniedUntil {};
        /// Exponentially decaying count of the permits granted, as of `grantedAt`.
        double granted { 0 };
        time_point grantedAt {};
        uint32_t unanswered { 0 };
    };

    std::map<std::string, holding, std::less<>> m_holdings;
    uint64_t m_nextTicket;
};

} // namespace gypsumhub
