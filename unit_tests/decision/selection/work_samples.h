#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/core/time_point.h"

#include <cmath>
#include <numbers>

namespace gypsumhub {

/// A standard normal number (Box and Muller 1958).
inline auto normal(random_generator& random) -> double
{
    return std::sqrt(-2 * std::log(1 - random.unit())) * std::cos(2 * std::numbers::pi * random.unit());
}

/// Log-normal work with this mean; `spread` is the standard deviation of the logarithm.
inline auto logNormal(random_generator& random, duration mean, double spread) -> duration
{
    return { static_cast<int64_t>(static_cast<double>(mean.ns) * std::exp(spread * normal(random) - spread * spread / 2)) };
}

} // namespace gypsumhub
