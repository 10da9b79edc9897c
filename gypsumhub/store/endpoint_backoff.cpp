#include "gypsumhub/store/endpoint_backoff.h"

#include <algorithm>

namespace gypsumhub {

endpoint_backoff::endpoint_backoff(settings limits, uint64_t seed)
    : m_settings(limits)
    , m_random(seed)
{
}

auto endpoint_backoff::recordFailure(time_point now) -> void
{
    constexpr auto maxDoublings = uint32_t { 16 };
    auto ceiling = std::min(m_settings.first * (int64_t { 1 } << std::min(m_failures, maxDoublings)), m_settings.longest);
    ++m_failures;
    // Half of the wait is random jitter, so that nodes that failed together do not retry together.
    auto half = ceiling / 2;
    m_nextAttempt = now + half + duration { static_cast<int64_t>(m_random.unit() * static_cast<double>(half.ns)) };
}

auto endpoint_backoff::recordSuccess() -> void
{
    m_failures = 0;
    m_nextAttempt = {};
}

} // namespace gypsumhub
