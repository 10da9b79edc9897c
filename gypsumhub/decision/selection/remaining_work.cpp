#include "gypsumhub/decision/selection/remaining_work.h"

#include <algorithm>

namespace gypsumhub {

auto remaining_work::add(const cost_estimate& work, time_point sentAt) -> uint64_t
{
    m_running.push_back({ ++m_lastNumber, work, sentAt });
    return m_lastNumber;
}

auto remaining_work::remove(uint64_t number) -> void
{
    std::erase_if(m_running, [&](auto& running) { return running.number == number; });
}

auto remaining_work::total(time_point now) const -> duration
{
    auto sum = duration {};
    for (auto& running : m_running)
        sum = sum + running.work.remainingAfter(now - running.sentAt);
    return sum;
}

auto remaining_work::least(time_point now) const -> duration
{
    auto least = duration {};
    for (auto& running : m_running) {
        auto remaining = running.work.remainingAfter(now - running.sentAt);
        least = &running == &m_running.front() ? remaining : std::min(least, remaining);
    }
    return least;
}

} // namespace gypsumhub
