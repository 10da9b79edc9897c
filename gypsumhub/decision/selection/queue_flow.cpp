#include "gypsumhub/decision/selection/queue_flow.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gypsumhub {

namespace {

    // The assumed rate counts as much as a measurement of this length.
    constexpr auto secondsOfExpectedRate = 1.0;
    // Avoids a division by the short time since the first sample.
    constexpr auto minObservedSeconds = 0.2;
    // Peaks last for 3 to 7 s. An overload for longer is expected to last.
    constexpr auto longestPeak = seconds(8);
    // Bounds memory. Configurations use a handful of priorities; others share the last one.
    constexpr auto maxPriorities = size_t { 16 };

} // namespace

auto decaying_rate::sum(time_point now) const -> double
{
    return m_sum * std::exp(-std::max((now - m_updatedAt).seconds(), 0.0) / m_timeConstant.seconds());
}

auto decaying_rate::add(double amount, time_point now) -> void
{
    if (m_beganAt == time_point {})
        m_beganAt = now;
    m_sum = sum(now) + amount;
    m_updatedAt = std::max(m_updatedAt, now);
}

auto decaying_rate::perSecond(time_point now) const -> double
{
    auto length = m_timeConstant.seconds();
    auto observed = length * (1 - std::exp(-(now - m_beganAt).seconds() / length));
    return sum(now) / std::max(observed, minObservedSeconds);
}

auto queue_flow::flowOf(uint32_t priority) -> priority_flow&
{
    auto found = m_flows.find(priority);
    if (found != m_flows.end())
        return found->second;
    return m_flows.size() < maxPriorities ? m_flows[priority] : m_flows.rbegin()->second;
}

auto queue_flow::recordArrival(uint32_t priority, time_point now) -> void
{
    auto& flow = flowOf(priority);
    flow.recent.add(1, now);
    flow.average.add(1, now);
    flow.longAverage.add(1, now);
    flow.arrived.add(1, now);
}

auto queue_flow::recordPlaced(uint32_t priority, time_point now) -> void
{
    flowOf(priority).placed.add(1, now);
    if (m_isWaiting)
        m_placedWhileWaiting.add(1, now);
}

auto queue_flow::setWaiting(bool isWaiting, time_point now) -> void
{
    if (m_isWaiting)
        m_waitingSeconds.add((now - m_waitingCountedUntil).seconds(), now);
    if (!m_isWaiting)
        m_waitingBeganAt = now;
    m_isWaiting = isWaiting;
    m_waitingCountedUntil = now;
}

auto queue_flow::placementRate(double expected, time_point now) const -> double
{
    auto waited = m_waitingSeconds.sum(now) + (m_isWaiting ? (now - m_waitingCountedUntil).seconds() : 0);
    return (m_placedWhileWaiting.sum(now) + expected * secondsOfExpectedRate) / (waited + secondsOfExpectedRate);
}

auto queue_flow::sumOf(decaying_rate priority_flow::*rate, uint32_t first, uint32_t last, time_point now) const -> double
{
    auto sum = 0.0;
    for (auto flow = m_flows.lower_bound(first); flow != m_flows.end() && flow->first <= last; ++flow)
        sum += (flow->second.*rate).perSecond(now);
    return sum;
}

auto queue_flow::arrivalRate(uint32_t maxPriority, time_point now) const -> double
{
    return sumOf(&priority_flow::recent, 0, maxPriority, now);
}

auto queue_flow::laterArrivalRate(uint32_t maxPriority, time_point now) const -> double
{
    auto isLasting = m_isWaiting && now > m_waitingBeganAt + longestPeak;
    return sumOf(isLasting ? &priority_flow::average : &priority_flow::longAverage, 0, maxPriority, now);
}

auto queue_flow::lowerArrivalRate(uint32_t priority, time_point now) const -> double
{
    return priority == std::numeric_limits<uint32_t>::max() ? 0 : sumOf(&priority_flow::recent, priority + 1, std::numeric_limits<uint32_t>::max(), now);
}

auto queue_flow::servedShare(uint32_t priority, time_point now) const -> double
{
    auto found = m_flows.find(priority);
    if (found == m_flows.end())
        return 1;
    auto arrived = found->second.arrived.sum(now);
    return arrived < 1 ? 1 : std::min(found->second.placed.sum(now) / arrived, 1.0);
}

} // namespace gypsumhub
