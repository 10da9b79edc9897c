#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>

namespace gypsumhub {

/// How one exchange with a target ended, as seen by the node.
enum class attempt_result : uint8_t {
    /// Complete answer below status 500.
    Success,
    /// Complete answer with status 500 or above that is neither shed nor draining.
    ErrorAnswer,
    /// The answer echoes another request's id.
    MismatchedAnswer,
    /// The answer ended before its framing was complete.
    CutAnswer,
    /// The answer's header was received, and nothing more until the deadline.
    HungAfterHeader,
    /// No byte of an answer was received before the deadline.
    Silent,
    /// The request is still unanswered after the service's overdue deadline; a final report follows later.
    Overdue,
    /// No connection to the target could be opened.
    ConnectFailed,
    /// The connection closed after the request was sent and before any byte of an answer.
    ConnectionLost,
    /// The target declined because of load (503 with the documented header).
    Shed,
    /// The target declined because it is leaving (503 with the documented header).
    Draining,
    /// The caller closed its connection; no evidence about the target.
    Cancelled,
};

/// The name of the result in traces and metrics, such as "error-answer".
auto toString(attempt_result) -> const char*;

/// Whether the exchange is evidence against the target.
auto isFailure(attempt_result) -> bool;

/// One exchange with a target. These reports are the main evidence about the target's health.
struct attempt_report {
    service_key service;
    vm_key target;
    attempt_result result { attempt_result::Success };
    /// When the first byte was sent, or when connecting began.
    time_point startedAt;
    time_point endedAt;
    /// Whether the connection had carried earlier requests; a failure then may be the connection's and not the target's.
    bool reusedConnection { false };
    /// Whether the exchange was a health check instead of a caller's request.
    bool isHealthCheck { false };
};

} // namespace gypsumhub
