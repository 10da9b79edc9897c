#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string_view>

namespace gypsumhub {

/// The most specific property that contributes to an estimate.
enum class cost_level : uint8_t {
    /// No request of the service has been answered yet.
    Prior,
    Service,
    Route,
    SizeClass,
    Segment,
    Customer,
};

/// The name of the level in log lines.
auto nameOf(cost_level) -> std::string_view;

/// The work that a request is expected to cost a target, as a log-normal distribution.
struct cost_estimate {
    duration mean {};
    duration percentile97 {};
    /// Standard deviation of the natural logarithm.
    double spread { 0 };
    cost_level level { cost_level::Prior };

    /// The distribution whose logarithm, of seconds, has this mean and standard deviation.
    static auto fromLogarithm(double logarithm, double spread, cost_level) -> cost_estimate;

    /// The mean of the logarithm of the seconds.
    auto logarithm() const -> double;
    /// The probability that the work takes longer than `length`.
    auto probabilityAbove(duration length) const -> double;
    /// The expected remaining work of a request that has run for `elapsed`. At most three times the mean, so that a request that is lost at
    /// its target does not count ever more.
    auto remainingAfter(duration elapsed) const -> duration;
};

} // namespace gypsumhub
