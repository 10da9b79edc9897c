#include "gypsumhub/decision/request/admission_queue.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // Time kept for the request itself, in mean holds: service times are heavy-tailed, and one that is cut off by its deadline
    // has taken a slot for nothing.
    constexpr auto reservedHolds = 3;
    // Weight of one new hold time in the smoothed mean: 1/16.
    constexpr auto smoothing = 16;
    // A single hold may not move the mean by more than this factor; one hung request is no estimate.
    constexpr auto maxHoldFactor = 8;

} // namespace

admission_queue::admission_queue(uint32_t limit)
    : m_limit(limit)
{
}

auto admission_queue::admit(waiter_id id, time_point deadline, time_point now, uint32_t slots) -> result_code
{
    if (now >= deadline)
        return result_code::DeadlineBeforeSend;
    if (m_waiting.size() >= m_limit || slots == 0)
        return result_code::QueueFull;
    // Those with an earlier deadline go first; each round of `slots` requests takes one mean hold.
    auto ahead = static_cast<int64_t>(std::distance(m_waiting.begin(), m_waiting.lower_bound({ deadline, id })));
    auto wait = m_meanHold * (ahead + 1) / slots;
    if (!canEndInTime(deadline, now + wait))
        return result_code::QueueFull;
    m_waiting.insert({ deadline, id });
    m_deadlines[id] = deadline;
    return result_code::Ok;
}

auto admission_queue::next(time_point now, std::vector<waiter_id>& expired) -> std::optional<waiter_id>
{
    expire(now, expired);
    if (m_waiting.empty())
        return std::nullopt;
    auto id = m_waiting.begin()->second;
    remove(id);
    return id;
}

auto admission_queue::expire(time_point now, std::vector<waiter_id>& expired) -> void
{
    while (!m_waiting.empty() && !canEndInTime(m_waiting.begin()->first, now)) {
        auto id = m_waiting.begin()->second;
        expired.push_back(id);
        remove(id);
    }
}

auto admission_queue::remove(waiter_id id) -> bool
{
    auto found = m_deadlines.find(id);
    if (found == m_deadlines.end())
        return false;
    m_waiting.erase({ found->second, id });
    m_deadlines.erase(found);
    return true;
}

auto admission_queue::recordHoldTime(duration hold) -> void
{
    auto bounded = std::clamp(hold, duration {}, m_meanHold * maxHoldFactor + milliseconds(1));
    m_meanHold = m_meanHold + (bounded - m_meanHold) / smoothing;
}

auto admission_queue::canEndInTime(time_point deadline, time_point now) const -> bool
{
    return now + m_meanHold * reservedHolds < deadline;
}

auto admission_queue::nextExpiry() const -> time_point
{
    if (m_waiting.empty())
        return never;
    return m_waiting.begin()->first - m_meanHold * reservedHolds;
}

} // namespace gypsumhub
