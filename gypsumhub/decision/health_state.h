#pragma once

#include <cstdint>

namespace gypsumhub {

/// What the node thinks of a target.
enum class health_state : uint8_t {
    Healthy,
    /// Under suspicion: gets less work at once.
    Demoted,
    /// Set aside: gets probes only.
    Ejected,
    /// Coming back: gets a trickle of idempotent work.
    Trial,
    /// Leaving or gone by the platform's list or the target's own word: gets nothing new.
    Leaving,
};

/// "healthy", "demoted", "ejected", "trial" or "leaving".
auto toString(health_state) -> const char*;

} // namespace gypsumhub
