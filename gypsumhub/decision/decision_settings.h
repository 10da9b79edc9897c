#pragma once

#include "gypsumhub/core/strong_id.h"

#include <cstdint>
#include <string>

namespace gypsumhub {

/// Identity and limits of the node that a `decision_core` runs on.
struct decision_settings {
    node_key self;
    std::string dataCentre;
    /// Seed of the core's random generator.
    uint64_t seed { 1 };
    /// Maximum members of a serving group in each data centre; services with few slots get fewer.
    uint32_t membersPerDataCentre { 3 };
};

} // namespace gypsumhub
