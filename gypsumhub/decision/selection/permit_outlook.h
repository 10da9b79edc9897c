#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// When a service all of whose targets state a limit can take further requests of this node.
struct permit_outlook {
    /// Until the next permit can be expected; zero when one can be requested now.
    duration untilNext;
    double permitsPerSecond { 0 };
    /// Whether the slots of a target are all in use, so that its response time bounds the rate as well.
    bool hasFullTarget { false };
};

} // namespace gypsumhub
