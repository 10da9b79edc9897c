#pragma once

#include "gypsumhub/core/result_code.h"
#include "gypsumhub/decision/attempt_report.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace gypsumhub {

/// Counters of the request path since process start. Request threads write them; the metrics endpoint reads them.
struct proxy_counters {
    using counter = std::atomic<uint64_t>;

    /// Exclusive upper bound of the result code numbers.
    static constexpr auto resultCodeLimit = size_t { 1000 };
    /// Exclusive upper bound of the `attempt_result` values.
    static constexpr auto attemptResultLimit = size_t { 16 };

    counter connectionsAccepted { 0 };
    /// Connections closed so that new ones could be accepted.
    counter connectionsEvicted { 0 };
    /// Open connections of callers.
    counter connectionsOpen { 0 };
    /// Requests in progress.
    counter requestsInFlight { 0 };
    /// Successful answers to `GET /v1/nodes`.
    counter nodesAnswers { 0 };
    /// Requests forwarded to a member of the serving group.
    counter peerHops { 0 };
    /// Attempts after the first attempt of a request.
    counter retries { 0 };
    counter targetConnectionsOpened { 0 };
    counter targetConnectionsReused { 0 };
    /// Idle connections found expired or closed by the check before reuse.
    counter targetConnectionsStale { 0 };
    /// Answers streamed because they are too large to buffer.
    counter streamedAnswers { 0 };
    /// Streamed answers that ended with a connection reset.
    counter streamedAnswersCut { 0 };
    /// Total time from receiving a request to having its answer, in microseconds.
    counter requestMicroseconds { 0 };
    /// Finished requests by result code number.
    std::array<counter, resultCodeLimit> results {};
    /// Reports about exchanges with targets, by result; an overdue exchange is counted again when it ends.
    std::array<counter, attemptResultLimit> attempts {};

    /// Counts one finished request.
    auto countResult(result_code code) -> void
    {
        results[static_cast<size_t>(code)].fetch_add(1, std::memory_order_relaxed);
    }

    /// Counts one report about an exchange with a target.
    auto countAttempt(attempt_result result) -> void
    {
        attempts[static_cast<size_t>(result)].fetch_add(1, std::memory_order_relaxed);
    }
};

/// Adds 1 with relaxed memory order.
inline auto increment(proxy_counters::counter& value) -> void
{
    value.fetch_add(1, std::memory_order_relaxed);
}

/// Subtracts 1 with relaxed memory order.
inline auto decrement(proxy_counters::counter& value) -> void
{
    value.fetch_sub(1, std::memory_order_relaxed);
}

} // namespace gypsumhub
