#include "gypsumhub/decision/request/borrow_gate.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto minClosedTime = milliseconds(100);
    constexpr auto maxClosedTime = seconds(5);

} // namespace

auto borrow_gate::onShed(time_point now) -> void
{
    auto closedUntil = m_closedUntilNs.load(std::memory_order_relaxed);
    // Requests that were in flight when the gate closed do not extend the closed time.
    if (now.ns < closedUntil)
        return;
    auto closedTime = m_closedTimeNs.load(std::memory_order_relaxed);
    // A gate that was open for longer than `maxClosedTime` starts again with the minimum.
    auto recent = now.ns - closedUntil < maxClosedTime.ns;
    closedTime = recent ? std::clamp(closedTime * 2, minClosedTime.ns, maxClosedTime.ns) : minClosedTime.ns;
    if (m_closedUntilNs.compare_exchange_strong(closedUntil, now.ns + closedTime, std::memory_order_relaxed))
        m_closedTimeNs.store(closedTime, std::memory_order_relaxed);
}

} // namespace gypsumhub
