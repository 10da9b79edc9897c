#include "gypsumhub/store/call_budget.h"

#include <algorithm>
#include <cassert>

namespace gypsumhub {

call_budget::call_budget(settings limits)
    : m_interval(seconds(1) / std::max<uint32_t>(limits.callsPerSecond, 1))
    , m_tolerance(m_interval * (std::max<uint32_t>(limits.burst, 1) - 1))
{
}

auto call_budget::tryAcquire(time_point now) -> bool
{
    if (now < nextAllowed()) {
        ++m_refused;
        return false;
    }
    m_theoreticalArrival = std::max(m_theoreticalArrival, now) + m_interval;
    ++m_admitted;
    return true;
}

auto call_budget::nextAllowed() const -> time_point
{
    return m_theoreticalArrival - m_tolerance;
}

} // namespace gypsumhub
