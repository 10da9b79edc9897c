#pragma once

#include "gypsumhub/decision/selection/cost_estimate.h"

#include <cstddef>

namespace gypsumhub {

/// What a request costs the target that runs it, and until when its answer is in time.
struct request_cost {
    cost_estimate work {};
    /// An answer that is received later misses the latency target.
    time_point onTimeUntil {};
    /// Sent to the target with the request.
    size_t bodyBytes { 0 };
};

} // namespace gypsumhub
