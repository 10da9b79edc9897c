#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/decision/selection/allowance_choice.h"
#include "gypsumhub/decision/selection/allowance_credits.h"
#include "gypsumhub/decision/selection/allowance_distributor.h"
#include "gypsumhub/decision/selection/allowance_leases.h"
#include "gypsumhub/gateway/allowance_end.h"
#include "gypsumhub/gateway/gateway_context.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <utility>

namespace gypsumhub {

/// Enforces the request limits of customers over the whole fleet, together with the same part of other nodes. Sends nothing while no
/// request of a customer with a limit arrives.
class allowance_watcher {
public:
    using sender = std::function<void(const node_datagram&, std::span<const node_registration>)>;

    allowance_watcher(gateway_context&, sender);

    /// Lets the requests of this node use credits if the settings ask for limits to be enforced.
    auto connect() -> void;

    /// Whether the settings ask for limits to be enforced.
    auto isActive() const -> bool { return m_context.settings.customers.limitWindow.ns > 0; }
    /// Waits for a credit of the customer, at most `creditLifetime`.
    auto acquire(std::string customer) -> task<allowance_end>;
    /// Returns the credit of a request that was not sent to a target.
    auto giveBack(const std::string& customer, time_point until) -> void;
    /// Whether the datagram is about credits or leases.
    static auto handles(const node_datagram&) -> bool;
    auto handleDatagram(const node_datagram&) -> void;
    auto tick(time_point now) -> void;

private:
    /// A request that waits for a credit. Its timer never expires; `finish` cancels it.
    struct credit_wait {
        explicit credit_wait(io_executor executor, time_point until)
            : timer(executor)
            , expiresAt(until)
        {
        }

        steady_timer timer;
        time_point expiresAt;
        allowance_end end;
        bool isFinished { false };
    };

    struct chosen_nodes {
        std::vector<std::string> names;
        time_point until;
    };

    /// Sends what is due and ends the waits that are over. Runs every few milliseconds while requests wait.
    auto pump() -> void;
    auto schedulePump() -> void;
    auto serveWaiting(const std::string& customer, time_point now) -> void;
    /// Counts and logs the outcome.
    auto record(const std::string& customer, allowance_end, time_point now) -> allowance_end;
    auto sendCreditRequests(time_point now) -> void;
    auto sendLeaseRequests(time_point now) -> void;
    auto handleCreditRequest(const credit_request&, const std::string& asker, time_point now) -> void;
    auto handleCreditGrant(const credit_grant&, time_point now) -> void;
    auto handleLeaseRequest(const lease_request&, time_point now) -> void;
    /// States to a new distributor of the fleet which leases this node holds.
    auto answerProbe(const lease_request&, time_point now) -> void;
    /// Asks the nodes that may hold leases of a former distributor, while that is of use.
    auto sendProbes(uint32_t bucket, time_point now) -> void;
    auto sendTo(const std::string& node, node_datagram) -> void;

    /// Of this node's configuration; a rate of 0 for a customer without a limit.
    auto limitOf(std::string_view customer) const -> allowance_limit;
    auto hasLimits() const -> bool;
    /// The candidates for a bucket in a data centre, the first of which distributes it. Never empty for the own data centre.
    auto candidates(const std::string& dataCentre, uint32_t bucket, time_point now) -> const std::vector<std::string>&;
    auto isFirst(uint32_t bucket, time_point now) -> bool;
    auto isFleetDistributor(uint32_t bucket, time_point now) -> bool;
    /// The candidates of all data centres among the registered nodes, whether they are available or not.
    auto registeredCandidates(uint32_t bucket) const -> std::vector<std::string>;
    /// Whether nodes of all data centres are known. Until then this node issues nothing without a lease and grants none.
    auto knowsFleet(time_point now) const -> bool;
    /// Counts the registered nodes again.
    auto refreshFleet(time_point now) -> void;
    /// Logs when a handover from a former distributor of the fleet ends.
    auto logSettled(time_point now) -> void;

    gateway_context& m_context;
    sender m_send;
    allowance_credits m_credits;
    allowance_distributor m_distributor;
    allowance_leases m_leases;
    std::map<std::string, std::deque<std::shared_ptr<credit_wait>>, std::less<>> m_waiting;
    steady_timer m_pumpTimer;
    bool m_isPumpScheduled { false };
    /// By data centre and bucket, for a short time.
    std::map<std::pair<std::string, uint32_t>, chosen_nodes> m_candidates;
    /// Every data centre in which a node was registered since the start. One whose nodes seem gone may be cut off and serve callers.
    std::set<std::string, std::less<>> m_dataCentres;
    size_t m_nodeCount { 1 };
    size_t m_localCount { 1 };
    time_point m_nextRefresh {};
    std::array<bool, allowance_choice::bucketCount> m_isFleetDistributor {};
    std::array<bool, allowance_choice::bucketCount> m_isSettled {};
    /// By customer, when a refusal may be logged again.
    std::map<std::string, time_point, std::less<>> m_logAgainAt;
};

} // namespace gypsumhub
