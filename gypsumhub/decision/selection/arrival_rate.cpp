#include "gypsumhub/decision/selection/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    constexpr auto fastSeconds = 0.7;
    constexpr auto slowSeconds = 5.0;
    // A first request says little about the rate: counted over the 0.1 s since then it would need the whole limit of a small customer.
    constexpr auto minObservedSeconds = 1.0;
    // With so many arrivals in the short time, both estimates count alike. The standard deviation of that number is a quarter.
    constexpr auto certainArrivals = 16.0;

} // namespace

auto arrival_rate::add(uint32_t count, time_point now) -> void
{
    m_beganAt = std::min(m_beganAt, now);
    m_fast.add(count, now);
    m_slow.add(count, now);
}

auto arrival_rate::perSecond(time_point now) const -> double
{
    if (m_beganAt == never)
        return 0;
    auto observed = std::max((now - m_beganAt).seconds(), minObservedSeconds);
    auto rateOf = [&](const decaying_rate& counted, double timeConstant) { return counted.sum(now) / (timeConstant * (1 - std::exp(-observed / timeConstant))); };
    auto slow = rateOf(m_slow, slowSeconds);
    auto arrivals = slow * fastSeconds;
    auto weight = arrivals / (arrivals + certainArrivals);
    return weight * rateOf(m_fast, fastSeconds) + (1 - weight) * slow;
}

} // namespace gypsumhub
