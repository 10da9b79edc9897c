#include "gypsumhub/decision/request/retry_budget.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto oneRetry = int64_t { 100 };
    constexpr auto refillInterval = seconds(1);

    // Adds without passing `limit`; a value already above it stays.
    auto addUpTo(std::atomic<int64_t>& value, int64_t amount, int64_t limit) -> void
    {
        auto current = value.load(std::memory_order_relaxed);
        while (current < limit) {
            if (value.compare_exchange_weak(current, std::min(current + amount, limit), std::memory_order_relaxed))
                return;
        }
    }

} // namespace

auto retry_budget::recordFirstAttempt(uint32_t percent) -> void
{
    addUpTo(m_left, percent, capacity * oneRetry);
}

auto retry_budget::take(time_point now) -> bool
{
    refill(now);
    auto current = m_left.load(std::memory_order_relaxed);
    while (current >= oneRetry) {
        if (m_left.compare_exchange_weak(current, current - oneRetry, std::memory_order_relaxed))
            return true;
    }
    return false;
}

auto retry_budget::left() const -> int64_t
{
    return m_left.load(std::memory_order_relaxed) / oneRetry;
}

auto retry_budget::refill(time_point now) -> void
{
    // One thread wins the exchange and adds; the others need not wait for it.
    auto due = m_nextRefillNs.load(std::memory_order_relaxed);
    if (now.ns < due || !m_nextRefillNs.compare_exchange_strong(due, (now + refillInterval).ns, std::memory_order_relaxed))
        return;
    addUpTo(m_left, oneRetry, reserve * oneRetry);
}

} // namespace gypsumhub
