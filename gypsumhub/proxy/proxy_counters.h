#pragma once

#include "gypsumhub/core/result_code.h"
#include "gypsumhub/decision/attempt_report.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace gypsumhub {

/// Counters of the request path since the start of the process; written by request threads, read by the operator part.
struct proxy_counters {
    using counter = std::atomic<uint64_t>;

    /// Result codes are below this number.
    static constexpr auto resultCodeLimit = size_t { 1000 };
    /// Attempt results are below this number.
    static constexpr auto attemptResultLimit = size_t { 16 };

    counter connectionsAccepted { 0 };
    /// Connections closed to make room for new ones.
    counter connectionsEvicted { 0 };
    /// Connections of callers that are open now.
    counter connectionsOpen { 0 };
    /// Requests being handled now.
    counter requestsInFlight { 0 };
    /// Answers of `GET /v1/nodes`.
    counter nodesAnswers { 0 };
    /// Requests passed to a member of the serving group.
    counter peerHops { 0 };
    /// Attempts after the first of a request.
    counter retries { 0 };
    counter targetConnectionsOpened { 0 };
    counter targetConnectionsReused { 0 };
    /// Connections found closed or unusable by the check before reuse.
    counter targetConnectionsStale { 0 };
    /// Answers passed on in parts because they exceed the buffered size.
    counter streamedAnswers { 0 };
    /// Streamed answers that were cut visibly.
    counter streamedAnswersCut { 0 };
    /// Sum of the times from request received to answer ready, in microseconds.
    counter requestMicroseconds { 0 };
    /// Requests that ended, by number of result code.
    std::array<counter, resultCodeLimit> results {};
    /// Exchanges with targets, by result.
    std::array<counter, attemptResultLimit> attempts {};

    /// Counts one request that ended with `code`.
    auto countResult(result_code code) -> void
    {
        results[static_cast<size_t>(code)].fetch_add(1, std::memory_order_relaxed);
    }

    /// Counts one exchange.
    auto countAttempt(attempt_result result) -> void
    {
        attempts[static_cast<size_t>(result)].fetch_add(1, std::memory_order_relaxed);
    }
};

/// Adds one with relaxed order.
inline auto increment(proxy_counters::counter& value) -> void
{
    value.fetch_add(1, std::memory_order_relaxed);
}

/// Subtracts one with relaxed order.
inline auto decrement(proxy_counters::counter& value) -> void
{
    value.fetch_sub(1, std::memory_order_relaxed);
}

} // namespace gypsumhub
