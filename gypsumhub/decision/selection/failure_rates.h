#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// Parameters of the two-state failure model (Gilbert-Elliott) of a service's targets: a target alternates between a good
/// and a bad state, and the time spent in each is exponentially distributed.
struct failure_rates {
    /// Share of requests that fail in the good and in the bad state.
    double failureRateGood { 0.01 };
    double failureRateBad { 0.85 };
    /// Mean time that a target stays in each state.
    duration meanGoodTime { seconds(30) };
    duration meanBadTime { seconds(6) };

    /// The long-run share of time that a target spends in the bad state.
    auto stationaryProbabilityBad() const -> double { return meanBadTime.seconds() / (meanBadTime.seconds() + meanGoodTime.seconds()); }
};

} // namespace gypsumhub
