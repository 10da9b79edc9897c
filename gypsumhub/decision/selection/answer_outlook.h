#pragma once

#include "gypsumhub/decision/selection/request_cost.h"
#include "gypsumhub/decision/selection/target_state.h"

namespace gypsumhub {

/// When the answer to a request can be expected from one target.
struct answer_outlook {
    /// The probability that the answer misses the latency target.
    double probabilityLate { 0 };
    /// Expected time from now until the target begins to run the request.
    duration wait {};
};

/// The outlook for a request that is sent now, or for a full target when one of its slots is free. `meanWork` is that of the requests of
/// other nodes.
///
/// Answers the load of services with few slots per target, where the time until an answer depends on the request itself, on what the
/// target still has to do and on its speed, and an answer that is late has lost most of its value.
auto outlookAt(const target_state&, const request_cost&, duration meanWork, time_point now) -> answer_outlook;

/// After this time without an answer, a request counts as stalled: the 97th percentile of its own time at the target, with the expected
/// wait. `ofService` is the threshold of the service. It bounds the result from below, so that an estimate that is too low does not make
/// most requests count as stalled.
auto stallThresholdAt(const target_state&, const request_cost&, duration meanWork, duration ofService, time_point now) -> duration;

} // namespace gypsumhub
