#pragma once

#include "gypsumhub/decision/selection/placement_queue.h"
#include "gypsumhub/decision/selection/priority_turns.h"
#include "gypsumhub/decision/selection/queue_flow.h"
#include "gypsumhub/decision/selection/retry_schedule.h"

#include <optional>
#include <vector>

namespace gypsumhub {

/// Admission control and order for services whose requests still have value after their latency target.
///
/// Answers the load of bursts and peaks of a few seconds: requests that miss their latency target wait for the capacity that later
/// arrivals leave. In a lasting overload nothing is left. Then only requests that can be placed in time are admitted, and to a shorter
/// queue than in a burst, since the targets are busy in any case and a request placed at the last moment often misses its target.
/// A request that waits is refused as soon as the forecast says that it will not be placed, since a refusal costs the caller more the
/// longer it has waited.
class late_admission {
public:
    /// `queue` must outlive this object.
    explicit late_admission(placement_queue& queue)
        : m_queue(queue)
    {
    }

    /// Decides on an arrival. `predictedWait` of the result is the wait until it could be placed.
    auto evaluate(const waiting_request&, const service_capacity&, time_point now) const -> placement_estimate;
    /// Removes and returns the requests that have missed their latency target and cannot be placed before they expire.
    auto removeHopeless(const service_capacity&, time_point now) -> std::vector<waiting_request>;
    /// The request to place next.
    auto next(time_point now) const -> std::optional<waiting_request>;

    /// How long the caller of a refused request is to wait, given the time that it has left.
    auto retryAfter(const service_capacity&, duration timeLeft, time_point now) -> duration;

    auto recordArrival(uint32_t priority, time_point now) -> void { m_flow.recordArrival(priority, now); }
    /// Called when a request that arrived has been placed, after it has left the queue.
    auto recordPlaced(uint32_t priority, time_point now) -> void;
    /// Called after each change of the queue.
    auto updateWaiting(time_point now) -> void { m_flow.setWaiting(!m_queue.isEmpty(), now); }

private:
    /// Placements per second while requests wait.
    auto placementRate(const service_capacity&, time_point now) const -> double;
    /// Of these, those that the turns of lower priorities leave to requests of this one and more urgent ones.
    auto rateAbove(uint32_t priority, double rate, time_point now) const -> double;
    /// The wait until a request could be placed on time behind `ahead` others.
    auto waitOnTime(uint32_t priority, size_t ahead, double rate, time_point now) const -> duration;
    /// Placements per second that are left for late requests of this priority, 0 for none.
    auto lateRate(uint32_t priority, double rate, time_point now) const -> double;

    placement_queue& m_queue;
    queue_flow m_flow;
    priority_turns m_turns;
    retry_schedule m_retries;
};

} // namespace gypsumhub
