#pragma once

#include "gypsumhub/core/time_point.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace gypsumhub {

inline auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

/// The requests of a customer that may be used in any window of 5 s.
inline auto allowedInWindow(double rate, double burst) -> double
{
    return (rate * 5 + burst) * 1.1 + 20;
}

struct fleet_size {
    size_t nodes;
    size_t dataCentres;
};

constexpr auto sizes = std::to_array<fleet_size>({ { 6, 1 }, { 6, 2 }, { 89, 4 }, { 444, 8 } });
/// Shares of the datagrams that are lost, and as many that are late or arrive twice.
constexpr auto usualLoss = 0.02;
constexpr auto severeLoss = 0.1;

} // namespace gypsumhub
