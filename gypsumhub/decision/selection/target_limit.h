#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gypsumhub {

/// What a target last said about the request rate that it accepts.
struct target_limit {
    std::string target;
    uint64_t incarnation { 0 };
    /// From all nodes together; nullopt once the target answers without a limit.
    std::optional<double> requestsPerSecond;
    /// When the answer arrived.
    time_point statedAt;
};

} // namespace gypsumhub
