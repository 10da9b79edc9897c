#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/health_state.h"

#include <cstdint>

namespace gypsumhub {

/// What one node knows about one target, in the form that passes between members of a serving group.
/// Sent on change and only for targets that are not plainly healthy.
struct evidence {
    service_key service;
    vm_key target;
    health_state state { health_state::Healthy };
    /// Log likelihood ratio of "failing" against "healthy" from the sender's own work, in thousandths of a nat.
    int32_t errorScore { 0 };
    /// Log likelihood ratio of "slow" against "as its siblings", in thousandths of a nat.
    int32_t slowScore { 0 };
    /// Exchanges that the scores rest on.
    uint32_t samples { 0 };
    /// Exchanges since the last success; tells a dead path from a sick VM.
    uint32_t failuresInRow { 0 };
    /// Until when the receiver may count it.
    time_point validUntil;
};

} // namespace gypsumhub
