#include "gypsumhub/gateway/log_sampler.h"

namespace gypsumhub {

log_sampler::log_sampler(uint32_t requestsPerSecond)
    : m_requestsPerSecond(requestsPerSecond == 0 ? 1 : requestsPerSecond)
{
}

auto log_sampler::sample(uint64_t idHash, time_point now) -> bool
{
    if (now >= m_secondEnds) {
        // The rate of the next second is predicted to equal that of the last one.
        auto isRecent = now < m_secondEnds + seconds(1);
        m_shift = 0;
        while (isRecent && m_seen >> m_shift > m_requestsPerSecond)
            ++m_shift;
        m_seen = 0;
        m_secondEnds = now + seconds(1);
    }
    ++m_seen;
    return (idHash & (oneIn() - 1)) == 0;
}

} // namespace gypsumhub
