#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/health_state.h"

#include <cstdint>

namespace gypsumhub {

/// One node's evidence about one target, as sent between members of a serving group. Sent on change, only for targets that are
/// suspected, ejected, on trial or leaving, or were until recently, and in reply to a peer's suspicion.
struct evidence {
    service_key service;
    vm_key target;
    health_state state { health_state::Healthy };
    /// Log likelihood ratio of "failing" against "healthy" from the sender's own work, in thousandths of a nat.
    int32_t errorScore { 0 };
    /// Log likelihood ratio of "slow" against "as its siblings", in thousandths of a nat.
    int32_t slowScore { 0 };
    /// Exchanges that the scores are based on.
    uint32_t samples { 0 };
    /// Failures since the last success; distinguishes a failed path from an unhealthy VM.
    uint32_t failuresInRow { 0 };
    /// The receiver ignores the evidence from this time on.
    time_point validUntil;
};

} // namespace gypsumhub
