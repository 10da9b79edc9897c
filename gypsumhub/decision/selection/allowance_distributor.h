#pragma once

#include "gypsumhub/decision/selection/allowance_burst.h"
#include "gypsumhub/decision/selection/allowance_limit.h"
#include "gypsumhub/decision/selection/allowance_message.h"
#include "gypsumhub/decision/selection/arrival_rate.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumhub {

/// Distributes the credits of customers to the nodes of one data centre, out of one token bucket for each customer that fills at the leased
/// fraction of the customer's limit, and beyond it out of the same fraction of the credits by window. Load: one look-up for each customer in a
/// request of a node; memory only for customers with recent requests.
class allowance_distributor {
public:
    /// A request for leases that is due, to the candidate with this index, modulo their number.
    struct demand {
        uint32_t candidate { 0 };
        lease_request request;
    };

    /// Tickets must increase also over starts of a node.
    explicit allowance_distributor(uint64_t firstTicket = 1);

    using limit_source = std::function<allowance_limit(std::string_view customer)>;

    /// Grants credits to a node. A request that arrives again receives the same answer. `limitOf` returns a rate of 0 for a customer
    /// without a limit in this node's configuration, which receives nothing.
    auto grant(std::string_view asker, const credit_request&, const limit_source& limitOf, time_point now) -> credit_grant;
    /// The requests for leases that are due, for customers with recent demand, and the statements that a lease is given up. Counts them as
    /// sent at `now`. The asker is left empty. `isFirst` tells whether this node is the first candidate of its data centre for a bucket.
    auto takeDemands(time_point now, const std::function<bool(uint32_t bucket)>& isFirst) -> std::vector<demand>;
    /// Takes the answer to the latest request for each of these customers.
    auto recordLeases(const lease_grant&, time_point now) -> void;
    /// The leases of a bucket that this node holds, for a new distributor of the fleet, or nullopt if they are too many to state. Grants
    /// for earlier requests will not be taken.
    auto statement(uint32_t bucket, time_point now) -> std::optional<lease_request>;
    /// Forgets customers without recent demand, and answers that no node waits for.
    auto prune(time_point now) -> void;
    auto customerCount() const -> size_t { return m_buckets.size(); }
    /// The fraction of the customer's limit that is leased to this node.
    auto fractionOf(std::string_view customer, time_point now) const -> double;

    static constexpr auto renewalInterval = milliseconds(700);
    /// After this time without an answer the next candidate is asked. The way to another region and back takes less.
    static constexpr auto answerTimeout = milliseconds(300);
    /// The same once for a first lease, for which requests wait no longer than `creditLifetime`.
    static constexpr auto firstAnswerTimeout = milliseconds(120);
    /// From a statement until the leases are asked for again.
    static constexpr auto statementPause = milliseconds(100);
    /// The lease of a customer without requests is given up after this time. A shorter one would cost customers with few requests their burst.
    static constexpr auto demandTime = seconds(6);
    /// The same at a node that is not the first candidate, which nodes ask only when the first one does not answer.
    static constexpr auto substituteDemandTime = milliseconds(1000);
    /// Denied nodes wait for the credits of those before them, up to this time longer than for the next credit.
    static constexpr auto maxContentionWait = milliseconds(1000);
    /// A denial lasts no longer, since the leased fraction changes with the demand.
    static constexpr auto maxRetryAfter = milliseconds(1500);

private:
    struct bucket {
        /// As of the latest request of a node.
        allowance_limit limit;
        double tokens { 1 };
        allowance_burst beyondTokens {};
        time_point filledAt {};
        double fraction { 0 };
        time_point leasedUntil {};
        arrival_rate arrivals {};
        time_point demandedAt {};
        /// The latest time that a denied node received to ask again.
        time_point latestRetryAt {};
        /// Times of the credits issued without a lease.
        std::deque<time_point> floorIssues;
        /// The latest request for a lease; 0 when it was answered.
        uint64_t ticket { 0 };
        time_point askedAt {};
        time_point askAgainAt {};
        uint32_t unanswered { 0 };
    };

    static auto isLeased(const bucket& used, time_point now) -> bool { return now < used.leasedUntil && used.fraction > 0; }
    static auto fill(bucket&, time_point now) -> void;
    static auto takeFloor(bucket&, uint32_t count, time_point now) -> uint32_t;
    static auto retryAfter(bucket&, time_point now) -> duration;
    auto grantOne(const credit_demand&, const allowance_limit&, time_point now) -> customer_credits;
    auto addDemand(std::vector<demand>&, const std::string& customer, bucket&, time_point now) -> void;

    struct answer {
        time_point at;
        credit_grant grant;
    };

    std::map<std::string, bucket, std::less<>> m_buckets;
    /// By asker and ticket.
    std::map<std::pair<std::string, uint64_t>, answer> m_answers;
    uint64_t m_nextTicket;
};

} // namespace gypsumhub
