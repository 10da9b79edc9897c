#pragma once

#include "gypsumhub/decision/selection/allowance_choice.h"
#include "gypsumhub/decision/selection/allowance_limit.h"
#include "gypsumhub/decision/selection/allowance_message.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumhub {

/// The distributor of the fleet: leases fractions of the limits of customers to the distributors of the data centres. The sum of the
/// fractions that may be in use never exceeds 1. Load: one request in 0.7 s for each bucket and data centre with demand.
///
/// An asker holds at most the larger of what it stated and what it was granted since. It takes a grant only for its latest request, so its
/// next request ends the uncertainty about grants that were lost.
class allowance_leases {
public:
    /// Without ticks for a longer time this node may have been suspended, and another one may have granted leases meanwhile.
    static constexpr auto suspensionTime = milliseconds(1000);
    static constexpr auto leaseTime = seconds(3);
    /// From taking over until grants are made without regard to the former distributor; before, an asker keeps what it holds and receives
    /// little more. A lease of the former distributor that its holder has not stated
    /// ends earlier: nodes notice a new node within 3.2 s and state their leases within another 0.7 s.
    static constexpr auto handoverTime = milliseconds(4000);
    /// Between two probes of nodes that have not answered.
    static constexpr auto probeInterval = milliseconds(150);
    /// Askers in memory for one customer. More cannot hold a lease at the same time in any regular state.
    static constexpr auto maxAskers = size_t { 64 };

    /// Notices which buckets this node serves as the distributor of the fleet. Called several times a second.
    auto tick(time_point now, const std::function<bool(uint32_t bucket)>& isDistributor) -> void;
    /// Answers a request, or nullopt for one that arrived late or twice, or for a bucket that this node does not serve.
    /// `limitOf` returns the limit of a customer, with a rate of 0 for none. `dataCentres` is the number of data centres.
    auto grant(const lease_request&, size_t dataCentres, const std::function<allowance_limit(std::string_view customer)>& limitOf, time_point now) -> std::optional<lease_grant>;
    /// A question to the nodes that may hold leases of a former distributor.
    struct probe {
        uint64_t number { 0 };
        std::vector<std::string> receivers;
    };

    /// The question that is due after a request, if any. `holders` are the nodes that may hold leases of the bucket. Once all of them have
    /// stated theirs, the handover is over. That ends it early only if all of them are up, as after a restart of the whole fleet.
    auto takeProbe(uint32_t bucket, std::span<const std::string> holders, time_point now) -> std::optional<probe>;
    /// Takes the answer to a probe.
    auto recordStatement(const lease_request&, time_point now) -> void;
    auto serves(uint32_t bucket) const -> bool { return bucket < m_roles.size() && m_roles.at(bucket).since; }
    /// Whether this node serves the bucket and grants leases without regard to a former distributor.
    auto isSettled(uint32_t bucket, time_point now) const -> bool { return serves(bucket) && !isInHandover(m_roles.at(bucket), now); }
    /// How many of the nodes that may hold leases of a former distributor have not stated theirs.
    auto unstatedCount(uint32_t bucket) const -> size_t;
    /// The sum of the fractions of a customer's limit that may be in use.
    auto leasedFraction(std::string_view customer, time_point now) const -> double;
    auto customerCount() const -> size_t { return m_customers.size(); }

private:
    /// What one asker may hold of one customer's limit.
    struct holding {
        std::string dataCentre;
        uint64_t ticket { 0 };
        double statedFraction { 0 };
        time_point statedUntil {};
        double grantedFraction { 0 };
        time_point grantedUntil {};
        double requestsPerSecond { 0 };
        time_point askedAt {};
    };

    using holdings = std::map<std::string, holding, std::less<>>;

    struct customer_state {
        holdings askers;
        /// The requests that leases granted during the handover beyond what the askers stated may serve until its end.
        double handoverCount { 0 };
    };

    static auto heldFraction(const holding&, time_point now) -> double;
    /// What all askers of the data centre but `asker` may hold.
    static auto heldBeside(const holdings&, std::string_view asker, std::string_view dataCentre, time_point now) -> double;
    struct demand_sum {
        double requestsPerSecond { 0 };
        /// Askers with demand, and data centres without.
        size_t active { 0 };
        double idle { 0 };
    };

    static auto demandOf(const holdings&, size_t dataCentres, time_point now) -> demand_sum;
    /// The fraction that is kept for data centres without demand.
    static auto keptFraction(const demand_sum&) -> double;
    /// The fraction that the asker should have.
    static auto fairFraction(const demand_sum&, const holding& asker, double limit) -> double;
    /// The fraction that an asker receives during the handover.
    static auto handoverFraction(customer_state&, double held, double wanted, const allowance_limit&) -> double;
    auto grantOne(const lease_request&, const lease_demand&, size_t dataCentres, const allowance_limit&, time_point now) -> std::optional<customer_lease>;

    struct role {
        /// Since when this node serves the bucket.
        std::optional<time_point> since {};
        std::set<std::string, std::less<>> expected {};
        std::set<std::string, std::less<>> stated {};
        time_point probeAgainAt {};
    };

    auto isInHandover(const role&, time_point now) const -> bool;

    std::array<role, allowance_choice::bucketCount> m_roles;
    std::map<std::string, customer_state, std::less<>> m_customers;
    time_point m_tickedAt {};
};

} // namespace gypsumhub
