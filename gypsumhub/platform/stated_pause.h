#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/time_point.h"

#include <optional>

namespace gypsumhub {

/// The Retry-After field of a target's answer.
struct stated_pause {
    /// Above 0, or nullopt if the target asks for no pause.
    std::optional<duration> length;
    /// The field is no number of seconds. Dates are not used between nodes and targets.
    bool isMalformed { false };
};

/// Decodes Retry-After, in seconds with an optional fraction. Of several fields the longest pause counts; one that is malformed is ignored.
auto readStatedPause(const http::fields& head) -> stated_pause;

} // namespace gypsumhub
