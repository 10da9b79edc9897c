#pragma once

#include "gypsumhub/core/asio_types.h"

#include <cstdint>

namespace gypsumhub {

/// The request rate that an answer of a target states.
struct stated_rate {
    enum class field_state : uint8_t {
        /// The target states no limit.
        Absent,
        Valid,
        /// The field appears twice, or is not a plain decimal number.
        Malformed,
    };

    field_state state { field_state::Absent };
    /// From all nodes together; 0 or more. Only meaningful when `state` is `Valid`.
    double requestsPerSecond { 0 };
};

/// Reads the limit that a target states in the head of an answer.
auto readStatedRate(const http::fields&) -> stated_rate;

} // namespace gypsumhub
