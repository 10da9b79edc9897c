#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <map>

namespace gypsumhub {

/// An exponentially decaying sum and the rate that it implies. The rate is unbiased from the first second on.
class decaying_rate {
public:
    explicit decaying_rate(duration timeConstant)
        : m_timeConstant(timeConstant)
    {
    }

    auto add(double amount, time_point now) -> void;
    auto sum(time_point now) const -> double;
    /// Per second, zero before the first sample.
    auto perSecond(time_point now) const -> double;

private:
    duration m_timeConstant;
    double m_sum { 0 };
    time_point m_beganAt {};
    time_point m_updatedAt {};
};

/// Measures what flows into and out of the placement queue of one service: arrivals and placements by priority, and the rate at which
/// requests are placed while others wait. The latter is the capacity that the targets have for this node, including what their failures,
/// their declines and the requests of other nodes take from it, which the mean response time does not show.
class queue_flow {
public:
    auto recordArrival(uint32_t priority, time_point now) -> void;
    auto recordPlaced(uint32_t priority, time_point now) -> void;
    /// Records whether requests wait. Called after each change of the queue.
    auto setWaiting(bool isWaiting, time_point now) -> void;

    /// Placements per second while requests wait. `expected` is the rate to assume as long as little was measured.
    auto placementRate(double expected, time_point now) const -> double;
    /// Arrivals per second of requests of at least this urgency, now.
    auto arrivalRate(uint32_t maxPriority, time_point now) const -> double;
    /// The same, as an average over the next seconds: demand returns to its long-term average after a burst or peak. When requests have
    /// waited without a break for longer than one lasts, the overload is expected to go on.
    auto laterArrivalRate(uint32_t maxPriority, time_point now) const -> double;
    /// Arrivals per second of less urgent requests, now.
    auto lowerArrivalRate(uint32_t priority, time_point now) const -> double;
    /// The share of the recent arrivals of a priority that were placed; 1 without arrivals.
    auto servedShare(uint32_t priority, time_point now) const -> double;

private:
    struct priority_flow {
        decaying_rate recent { seconds(1) };
        decaying_rate average { seconds(15) };
        decaying_rate longAverage { seconds(60) };
        decaying_rate arrived { seconds(10) };
        decaying_rate placed { seconds(10) };
    };

    auto flowOf(uint32_t priority) -> priority_flow&;
    /// The sum of a rate over the priorities from `first` to `last`.
    auto sumOf(decaying_rate priority_flow::*, uint32_t first, uint32_t last, time_point now) const -> double;

    std::map<uint32_t, priority_flow> m_flows;
    decaying_rate m_waitingSeconds { seconds(3) };
    decaying_rate m_placedWhileWaiting { seconds(3) };
    bool m_isWaiting { false };
    /// When requests began to wait, and until when the wait is included in `m_waitingSeconds`.
    time_point m_waitingBeganAt {};
    time_point m_waitingCountedUntil {};
};

} // namespace gypsumhub
