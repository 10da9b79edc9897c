#include "gypsumhub/decision/selection/late_admission.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto turnShare = 1.0 / priority_turns::placementsPerTurn;
    // Shares of the time until the latest placement in time that the wait may take. Above the first, a late wait is preferred, so that
    // those admitted on time have time left for their work, which varies. The last one applies in a lasting overload. In simulations
    // with log-normal work, a share of 1 there met the latency target of a seventh fewer requests, 0.3 left slots of small services idle.
    constexpr auto preferredShare = 0.7;
    constexpr auto longestShare = 1.0;
    constexpr auto lastingOverloadShare = 0.45;
    // The longest share falls to that of a lasting overload while the forecast of arrivals rises from the capacity to this multiple of it.
    constexpr auto lastingOverload = 1.2;
    // A forecast over seconds is uncertain. A late wait is admitted only if it would still end in time after this many times the forecast.
    // In simulations, a margin of 1 doubled the refusals of requests that had waited and served no more.
    constexpr auto lateWaitMargin = 1.5;
    // A request that waits late is refused when even this share of its forecast wait exceeds the time that it has left. The difference to the
    // margin keeps noise of the measured rates from refusing requests soon after their admission.
    constexpr auto hopelessShare = 0.7;
    // Less than this share of the capacity is noise.
    constexpr auto minLeftShare = 0.02;
    constexpr auto minRate = 1e-3;
    constexpr auto minResponseSeconds = 1e-3;
    // Prevents an overflow. A longer wait makes no difference.
    constexpr auto maxWaitSeconds = 3600.0;

    auto toDuration(double seconds) -> duration
    {
        return { static_cast<int64_t>(std::min(seconds, maxWaitSeconds) * 1e9) };
    }

    auto waitFor(size_t ahead, double rate) -> duration
    {
        return toDuration(static_cast<double>(ahead + 1) / std::max(rate, minRate));
    }

    /// The share of the time until the latest placement in time that a wait may take. `load` is the forecast of arrivals by capacity.
    auto longestShareAt(double load) -> double
    {
        auto overload = std::clamp((load - 1) / (lastingOverload - 1), 0.0, 1.0);
        return longestShare - overload * (longestShare - lastingOverloadShare);
    }

} // namespace

auto late_admission::placementRate(const service_capacity& capacity, time_point now) const -> double
{
    // Little's law.
    auto expected = static_cast<double>(std::max(capacity.inFlight, 1U)) / std::max(capacity.meanResponseTime.seconds(), minResponseSeconds);
    return std::max(m_flow.placementRate(expected, now), minRate);
}

auto late_admission::rateAbove(uint32_t priority, double rate, time_point now) const -> double
{
    return m_queue.hasLowerThan(priority) ? rate - std::min(m_flow.lowerArrivalRate(priority, now), rate * turnShare) : rate;
}

auto late_admission::waitOnTime(uint32_t priority, size_t ahead, double rate, time_point now) const -> duration
{
    auto moreUrgent = priority == 0 ? 0 : m_flow.arrivalRate(priority - 1, now);
    if (moreUrgent == 0)
        return waitFor(ahead, rateAbove(priority, rate, now));
    // With a turn, only the requests of the same priority are ahead.
    auto first = m_queue.first();
    auto hasTurn = first && first->priority < priority && m_flow.servedShare(priority, now) <= m_flow.servedShare(first->priority, now);
    auto left = std::max({ rateAbove(priority, rate, now) - moreUrgent, hasTurn ? rate * turnShare : 0, minRate });
    return waitFor(ahead, left);
}

auto late_admission::lateRate(uint32_t priority, double rate, time_point now) const -> double
{
    auto left = rateAbove(priority, rate, now) - m_flow.laterArrivalRate(priority, now);
    return left < rate * minLeftShare ? 0 : left;
}

auto late_admission::evaluate(const waiting_request& arrival, const service_capacity& capacity, time_point now) const -> placement_estimate
{
    auto latest = std::min(arrival.onTimeUntil, arrival.expiresAt);
    if (capacity.usable == 0 || capacity.outlook || m_queue.isFull()) {
        auto inTime = arrival;
        inTime.expiresAt = latest;
        return m_queue.evaluate(inTime, capacity);
    }
    auto rate = placementRate(capacity, now);
    auto onTime = waitOnTime(arrival.priority, m_queue.countAhead(arrival, false), rate, now);
    auto late = waitFor(m_queue.countAhead(arrival, true), lateRate(arrival.priority, rate, now));
    auto longest = longestShareAt(m_flow.laterArrivalRate(arrival.priority, now) / rate);
    auto fitsShare = [&](double share) { return onTime.seconds() <= (latest - now).seconds() * share; };
    if (fitsShare(std::min(preferredShare, longest)))
        return { true, onTime };
    if (late.seconds() * lateWaitMargin <= (arrival.expiresAt - now).seconds())
        return { true, std::max(late, onTime), true };
    return { fitsShare(longest), onTime };
}

auto late_admission::removeHopeless(const service_capacity& capacity, time_point now) -> std::vector<waiting_request>
{
    auto hopeless = std::vector<waiting_request> {};
    if (m_queue.isEmpty())
        return hopeless;
    auto rate = placementRate(capacity, now);
    auto ahead = size_t { 0 };
    auto priority = m_queue.first()->priority;
    auto left = lateRate(priority, rate, now);
    for (auto& waiting : m_queue.waiting()) {
        if (waiting.priority != std::exchange(priority, waiting.priority))
            left = lateRate(priority, rate, now);
        if (waiting.isLate && waitFor(ahead, left).seconds() * hopelessShare > (waiting.expiresAt - now).seconds())
            hopeless.push_back(waiting);
        else
            ++ahead;
    }
    for (auto& waiting : hopeless)
        m_queue.remove(waiting.ticket);
    return hopeless;
}

auto late_admission::retryAfter(const service_capacity& capacity, duration timeLeft, time_point now) -> duration
{
    auto rate = placementRate(capacity, now);
    return m_retries.next(now, waitFor(m_queue.size(), rate), rate, timeLeft);
}

auto late_admission::next(time_point now) const -> std::optional<waiting_request>
{
    return m_turns.next(m_queue, [&](uint32_t priority) { return m_flow.servedShare(priority, now); });
}

auto late_admission::recordPlaced(uint32_t priority, time_point now) -> void
{
    m_flow.recordPlaced(priority, now);
    m_turns.recordPlaced(priority, m_queue);
}

} // namespace gypsumhub
