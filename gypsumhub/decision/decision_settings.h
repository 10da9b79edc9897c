#pragma once

#include "gypsumhub/core/strong_id.h"

#include <cstdint>
#include <string>

namespace gypsumhub {

/// What a `decision_core` must know of the node that it decides for.
struct decision_settings {
    node_key self;
    std::string dataCentre;
    /// Seed of the core's random generator.
    uint64_t seed { 1 };
    /// Members of a serving group in each data centre.
    uint32_t membersPerDataCentre { 3 };
};

} // namespace gypsumhub
