#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// How the targets of a service fail: they alternate between good and bad episodes of exponential length.
struct episode_rates {
    /// Share of requests that fail in a good episode, and in a bad one.
    double failGood { 0.01 };
    double failBad { 0.85 };
    /// Mean lengths of the episodes.
    duration goodLength { seconds(30) };
    duration badLength { seconds(6) };

    /// The share of targets that are bad at any moment.
    auto badShare() const -> double { return badLength.seconds() / (badLength.seconds() + goodLength.seconds()); }
};

} // namespace gypsumhub
