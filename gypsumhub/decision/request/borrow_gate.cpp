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
    // Requests that were under way when the gate closed say nothing new.
    if (now.ns < closedUntil)
        return;
    auto closing = m_closingNs.load(std::memory_order_relaxed);
    // A gate that stayed open for long starts with the shortest time again.
    auto recent = now.ns - closedUntil < maxClosedTime.ns;
    closing = recent ? std::clamp(closing * 2, minClosedTime.ns, maxClosedTime.ns) : minClosedTime.ns;
    if (m_closedUntilNs.compare_exchange_strong(closedUntil, now.ns + closing, std::memory_order_relaxed))
        m_closingNs.store(closing, std::memory_order_relaxed);
}

} // namespace gypsumhub
