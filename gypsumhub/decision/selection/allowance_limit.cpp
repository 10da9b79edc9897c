#include "gypsumhub/decision/selection/allowance_limit.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // The tokens are for customers with few requests, whose requests come by chance at the same time; the credits by window for those that stay
    // above their limit.
    constexpr auto extraTokenShare = 0.85;
    constexpr auto handoverShare = 0.25;
    constexpr auto unusedShare = 0.125;

} // namespace

auto allowanceLimitOf(double requestsPerSecond, double burst, const allowance_terms& terms, size_t nodes, size_t dataCentres) -> allowance_limit
{
    auto nodeCount = static_cast<double>(std::max<size_t>(nodes, 1));
    auto difference = std::max(terms.overshoot * terms.window.seconds() - creditLifetime.seconds(), 0.0) * requestsPerSecond + terms.overshoot * burst + terms.slack;
    auto dataCentreCount = static_cast<double>(std::max<size_t>(dataCentres, 1));
    // Whole credits: with a fraction each node would issue one in some windows, and all nodes might in the same one.
    auto floor = static_cast<uint32_t>(difference / 2 / nodeCount);
    auto spareBeside = [&](uint32_t floorCount) { return (difference - floorCount * nodeCount) * (1 - handoverShare) - difference * unusedShare; };
    // With less than one token a data centre could grant nothing, which matters more than a floor.
    if (spareBeside(floor) * extraTokenShare < dataCentreCount)
        floor = 0;
    auto spare = std::max(spareBeside(floor), 0.0);
    auto extraTokens = std::max(spare * extraTokenShare / dataCentreCount, 1.0);
    auto handover = (difference - floor * nodeCount) * handoverShare;
    return { requestsPerSecond, burst / 2, extraTokens, burst / 2 + spare * (1 - extraTokenShare), floor, terms.window + creditLifetime, handover };
}

} // namespace gypsumhub
