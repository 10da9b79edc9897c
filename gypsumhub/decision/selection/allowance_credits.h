#pragma once

#include "gypsumhub/decision/selection/allowance_limit.h"
#include "gypsumhub/decision/selection/allowance_message.h"

#include <deque>
#include <map>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The credits that this node holds for customers, and its requests for more. Answers a customer above its limit without a message until
/// the time that the distributor stated. Load: one look-up for each request; at most one request for credits in 40 ms a customer.
class allowance_credits {
public:
    enum class answer : uint8_t {
        Granted,
        OverLimit,
        /// No credit is at hand, and the distributor has not denied one.
        Wait,
    };

    struct result {
        answer kind { answer::Wait };
        /// Granted: the credit may be given back until then. OverLimit: when a request may be served.
        time_point until {};
    };

    /// A request for credits that is due, to the candidate with this index, modulo their number. A candidate that does not answer is asked
    /// `attemptsPerCandidate` times, with the same ticket.
    struct demand {
        uint32_t bucket { 0 };
        uint32_t candidate { 0 };
        bool isRepeated { false };
        credit_request request;
    };

    /// `firstTicket` differs between starts of a node, so that answers to an earlier process match nothing.
    explicit allowance_credits(uint64_t firstTicket = 1);

    /// Counts a request that has arrived.
    auto recordArrival(std::string_view customer, time_point now) -> void;
    /// Uses the credit that ends first.
    auto take(std::string_view customer, time_point now) -> result;
    /// Returns a credit whose request was not sent to a target. Without effect once the credit has ended.
    auto giveBack(std::string_view customer, time_point until, time_point now) -> void;
    /// States how many requests of the customer wait for a credit.
    auto setWaiting(std::string_view customer, size_t count) -> void;
    /// The requests that are due. Counts them as sent at `now`.
    auto takeDemands(time_point now) -> std::vector<demand>;
    /// Takes the answer to the latest request for each of these customers. Returns the customers for which it was the answer.
    auto recordGrant(const credit_grant&, time_point now) -> std::vector<std::string>;
    /// Forgets customers that sent nothing lately.
    auto prune(time_point now) -> void;
    auto customerCount() const -> size_t { return m_holdings.size(); }

    /// After this time without an answer the request is repeated, and then sent to the next candidate.
    static constexpr auto answerTimeout = milliseconds(40);
    /// Lost datagrams must not move requests to another candidate, which would take a part of the lease. With a tenth of the datagrams lost,
    /// three attempts of one node left up to two fifths of a limit unused; after five, 0.1 s of the lifetime is left for the other candidate.
    static constexpr auto attemptsPerCandidate = uint32_t { 5 };
    /// Until a distributor without a lease is asked again.
    static constexpr auto pendingPause = milliseconds(40);
    /// Credits of one customer in one request.
    static constexpr auto maxCount = uint32_t { 256 };

private:
    struct batch {
        uint32_t count { 0 };
        time_point until;
    };

    struct holding {
        std::deque<batch> batches;
        size_t waiting { 0 };
        /// The request in flight; 0 for none.
        uint64_t ticket { 0 };
        uint32_t askedFor { 0 };
        uint32_t askedAhead { 0 };
        uint32_t statedArrivals { 0 };
        time_point askedAt {};
        time_point askAgainAt {};
        time_point deniedUntil {};
        uint32_t unanswered { 0 };
        uint32_t arrivals { 0 };
        /// Exponentially decaying count of the arrivals, as of `arrivedAt`.
        double recentArrivals { 0 };
        time_point arrivedAt {};
    };

    auto addDemand(std::vector<demand>&, const std::string& customer, holding&, time_point now) -> void;
    static auto expectedArrivals(const holding&, time_point now) -> uint32_t;

    std::map<std::string, holding, std::less<>> m_holdings;
    uint64_t m_nextTicket;
};

} // namespace gypsumhub
