#pragma once

#include <cstdint>

namespace gypsumhub {

/// State of a target according to this node.
enum class health_state : uint8_t {
    /// In rotation with its full weight, except during slow start.
    Healthy,
    /// Suspected: in rotation with a lower weight.
    Demoted,
    /// Out of rotation: gets health checks only.
    Ejected,
    /// Returning to rotation: gets a small share of idempotent requests.
    Trial,
    /// Leaving or gone according to the platform's list or the target's draining answer: gets no new requests.
    Leaving,
};

/// "healthy", "demoted", "ejected", "trial" or "leaving".
auto toString(health_state) -> const char*;

} // namespace gypsumhub
