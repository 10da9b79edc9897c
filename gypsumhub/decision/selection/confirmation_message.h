#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <limits>

namespace gypsumhub {

/// A node's question to another one how old its confirmation of the configuration is.
struct configuration_age_request {
    /// Repeated in the answer. Random, so that no answer to an earlier process of the same node matches it.
    uint64_t ticket { 0 };
};

/// The answer: `version`, or an earlier one, was the newest in the store `age` ago.
struct configuration_age {
    uint64_t ticket { 0 };
    uint64_t version { 0 };
    duration age;
};

/// The age of a node's confirmation while it has none.
constexpr auto unconfirmedAge = duration { std::numeric_limits<int64_t>::max() };

} // namespace gypsumhub
