#include "gypsumhub/decision/selection/cost_estimate.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace gypsumhub {

namespace {

    // The 97th percentile of the standard normal distribution.
    constexpr auto normalPercentile97 = 1.8808;
    constexpr auto minSeconds = 1e-3;
    constexpr auto maxRemainingMeans = 3.0;
    // Below it the quotient of the tails is not precise.
    constexpr auto minTail = 1e-9;

    auto normalBelow(double value) -> double
    {
        return 0.5 * std::erfc(-value / std::numbers::sqrt2);
    }

    auto toDuration(double seconds) -> duration
    {
        return { static_cast<int64_t>(seconds * 1e9) };
    }

} // namespace

auto nameOf(cost_level level) -> std::string_view
{
    constexpr auto names = std::to_array<std::string_view>({ "prior", "service", "route", "size_class", "segment", "customer" });
    return names[static_cast<size_t>(level)];
}

auto cost_estimate::fromLogarithm(double logarithm, double spread, cost_level level) -> cost_estimate
{
    return { toDuration(std::exp(logarithm + spread * spread / 2)), toDuration(std::exp(logarithm + normalPercentile97 * spread)), spread, level };
}

auto cost_estimate::logarithm() const -> double
{
    return std::log(std::max(mean.seconds(), minSeconds)) - spread * spread / 2;
}

auto cost_estimate::probabilityAbove(duration length) const -> double
{
    if (length.seconds() < minSeconds)
        return 1;
    return normalBelow((logarithm() - std::log(length.seconds())) / spread);
}

auto cost_estimate::remainingAfter(duration elapsed) const -> duration
{
    if (elapsed.seconds() < minSeconds)
        return mean;
    auto distance = (std::log(elapsed.seconds()) - logarithm()) / spread;
    auto tail = normalBelow(-distance);
    auto limit = mean.seconds() * maxRemainingMeans;
    if (tail < minTail)
        return toDuration(limit);
    // The conditional mean of a log-normal variable above `elapsed`, less `elapsed`.
    auto remaining = mean.seconds() * normalBelow(spread - distance) / tail - elapsed.seconds();
    return toDuration(std::clamp(remaining, 0.0, limit));
}

} // namespace gypsumhub
