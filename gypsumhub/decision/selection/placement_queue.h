#pragma once

#include "gypsumhub/decision/selection/permit_outlook.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace gypsumhub {

/// A request that waits for a free target of its service.
struct waiting_request {
    /// Unique on this node and increasing in order of arrival.
    uint64_t ticket { 0 };
    /// 0 is the most urgent.
    uint32_t priority { 0 };
    time_point arrivedAt;
    /// When the wait ends: a request placed later would miss its latency target or the caller's deadline.
    time_point expiresAt;
    /// Placed later, the request misses its latency target. It then waits behind those of its priority that can still meet theirs.
    time_point onTimeUntil { never };
    /// The request waits as one that misses its target. Set on admission, or by the queue when `onTimeUntil` has passed.
    bool isLate { false };
};

/// The capacity of a service as seen by this node when a request arrives.
struct service_capacity {
    /// Requests of this node that are at targets of the service.
    uint32_t inFlight { 0 };
    /// Targets that accept requests, free or busy.
    uint32_t usable { 0 };
    duration meanResponseTime;
    /// If all usable targets state a limit.
    std::optional<permit_outlook> outlook {};
};

/// The admission decision for an arriving request, with the queueing delay that it can expect.
struct placement_estimate {
    bool isAdmitted { false };
    duration predictedWait;
    /// It is admitted to wait behind the requests that can meet their latency target.
    bool isLate { false };
};

/// Queue with admission control for the requests of one service. Ordered by priority, then requests that can meet their latency target
/// before those that cannot, then by earliest expiry. Without late service (`late_admission`), a request whose predicted wait exceeds its
/// expiry is refused on arrival: serving it late delays requests that would still be on time.
class placement_queue {
public:
    /// Predicts the queueing delay of an arrival and decides whether to admit it. Matters during bursts, when requests
    /// arrive for seconds faster than the targets complete them.
    auto evaluate(const waiting_request&, const service_capacity&) const -> placement_estimate;
    auto add(const waiting_request&) -> void;
    auto remove(uint64_t ticket) -> void;
    /// The request to place next.
    auto first() const -> std::optional<waiting_request>;
    /// Moves the requests that can no longer meet their latency target behind the others of their priority.
    auto updateLate(time_point now) -> void;
    /// The waiting requests that come before `arrival`, if it is on time or late.
    auto countAhead(const waiting_request& arrival, bool isLate) const -> size_t;
    auto hasLowerThan(uint32_t priority) const -> bool { return !m_waiting.empty() && m_waiting.back().priority > priority; }
    /// The first of the waiting requests with this priority.
    auto firstOf(uint32_t priority) const -> std::optional<waiting_request>;
    /// All waiting requests in their order.
    auto waiting() const -> const std::vector<waiting_request>& { return m_waiting; }
    auto isFull() const -> bool;
    /// Removes and returns the requests that have expired at `now`.
    auto removeExpired(time_point now) -> std::vector<waiting_request>;
    /// Brings forward the expiry of all requests that would wait longer.
    auto limitExpiry(time_point latest) -> void;
    auto size() const -> size_t { return m_waiting.size(); }
    auto isEmpty() const -> bool { return m_waiting.empty(); }

private:
    /// Sorted by priority, lateness, expiry and ticket.
    std::vector<waiting_request> m_waiting;
};

} // namespace gypsumhub
