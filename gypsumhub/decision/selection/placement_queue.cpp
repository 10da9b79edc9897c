#include "gypsumhub/decision/selection/placement_queue.h"

#include <algorithm>
#include <tuple>

namespace gypsumhub {

namespace {

    // Bounds memory. In a longer queue the last request would wait for minutes anyway.
    constexpr auto maxWaitingRequests = size_t { 512 };

    // Which node receives the next permit varies. A request that waits for one is admitted only if it would still be placed in time after
    // this many times the predicted wait, instead of being refused late.
    constexpr auto permitWaitMargin = 2;
    // Avoids a division by zero.
    constexpr auto minPermitsPerSecond = 1e-3;

    auto toDuration(double seconds) -> duration
    {
        return { static_cast<int64_t>(seconds * 1e9) };
    }

    auto rank(const waiting_request& request)
    {
        auto endsAt = request.isLate ? request.expiresAt : std::min(request.expiresAt, request.onTimeUntil);
        return std::tuple(request.priority, request.isLate, endsAt, request.ticket);
    }

    auto precedes(const waiting_request& a, const waiting_request& b) -> bool
    {
        return rank(a) < rank(b);
    }

} // namespace

auto placement_queue::evaluate(const waiting_request& arrival, const service_capacity& capacity) const -> placement_estimate
{
    auto estimate = placement_estimate { false, capacity.meanResponseTime };
    if (capacity.usable == 0)
        return estimate;
    auto ahead = std::ranges::lower_bound(m_waiting, arrival, precedes) - m_waiting.begin();
    // Little's law: the targets complete one request of this node every `meanResponseTime / inFlight`.
    estimate.predictedWait = capacity.meanResponseTime * (ahead + 1) / std::max<int64_t>(capacity.inFlight, 1);
    if (capacity.outlook) {
        auto& outlook = *capacity.outlook;
        auto waitForPermits = outlook.untilNext + toDuration(static_cast<double>(ahead) / std::max(outlook.permitsPerSecond, minPermitsPerSecond));
        // While slots are free, only the limits bound the rate.
        estimate.predictedWait = outlook.hasFullTarget ? std::max(estimate.predictedWait, waitForPermits) : waitForPermits;
    }
    auto longestWait = capacity.outlook ? estimate.predictedWait * permitWaitMargin : estimate.predictedWait;
    estimate.isAdmitted = m_waiting.size() < maxWaitingRequests && arrival.arrivedAt + longestWait <= arrival.expiresAt;
    return estimate;
}

auto placement_queue::add(const waiting_request& request) -> void
{
    m_waiting.insert(std::ranges::upper_bound(m_waiting, request, precedes), request);
}

auto placement_queue::updateLate(time_point now) -> void
{
    auto hasChanged = false;
    for (auto& waiting : m_waiting) {
        auto becomesLate = !waiting.isLate && now > waiting.onTimeUntil;
        hasChanged |= becomesLate;
        waiting.isLate |= becomesLate;
    }
    if (hasChanged)
        std::ranges::sort(m_waiting, precedes);
}

auto placement_queue::countAhead(const waiting_request& arrival, bool isLate) const -> size_t
{
    auto placed = arrival;
    placed.isLate = isLate;
    return static_cast<size_t>(std::ranges::lower_bound(m_waiting, placed, precedes) - m_waiting.begin());
}

auto placement_queue::firstOf(uint32_t priority) const -> std::optional<waiting_request>
{
    auto found = std::ranges::lower_bound(m_waiting, priority, {}, &waiting_request::priority);
    return found == m_waiting.end() || found->priority != priority ? std::nullopt : std::optional(*found);
}

auto placement_queue::isFull() const -> bool
{
    return m_waiting.size() >= maxWaitingRequests;
}

auto placement_queue::remove(uint64_t ticket) -> void
{
    std::erase_if(m_waiting, [&](auto& waiting) { return waiting.ticket == ticket; });
}

auto placement_queue::limitExpiry(time_point latest) -> void
{
    for (auto& waiting : m_waiting)
        waiting.expiresAt = std::min(waiting.expiresAt, latest);
    std::ranges::sort(m_waiting, precedes);
}

auto placement_queue::first() const -> std::optional<waiting_request>
{
    return m_waiting.empty() ? std::nullopt : std::optional(m_waiting.front());
}

auto placement_queue::removeExpired(time_point now) -> std::vector<waiting_request>
{
    updateLate(now);
    auto expired = std::vector<waiting_request> {};
    std::ranges::copy_if(m_waiting, std::back_inserter(expired), [&](auto& waiting) { return waiting.expiresAt <= now; });
    std::erase_if(m_waiting, [&](auto& waiting) { return waiting.expiresAt <= now; });
    return expired;
}

} // namespace gypsumhub
