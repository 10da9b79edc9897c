#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// How the targets of a service fail: they alternate between good and bad episodes of exponential length.
struct failure_rates {
    /// Share of requests that fail in a good episode, and in a bad one.
    double failureRateGood { 0.01 };
    double failureRateBad { 0.85 };
    /// Mean lengths of the episodes.
    duration meanGoodTime { seconds(30) };
    duration meanBadTime { seconds(6) };

    /// The share of targets that are bad at any moment.
    auto stationaryProbabilityBad() const -> double { return meanBadTime.seconds() / (meanBadTime.seconds() + meanGoodTime.seconds()); }
};

} // namespace gypsumhub
