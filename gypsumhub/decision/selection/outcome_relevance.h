#pragma once

#include "gypsumhub/decision/selection/health_estimate.h"

namespace gypsumhub {

/// The probability that a target is in the bad state, before and after an outcome.
struct health_change {
    double before { 0 };
    double after { 0 };
};

/// Whether an outcome that this node has seen changes what the other nodes should think of the target. Most outcomes are successes of
/// targets that are known to be good, and those are not sent.
auto isInformative(outcome_kind, health_change) -> bool;

} // namespace gypsumhub
