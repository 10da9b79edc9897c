#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>

namespace gypsumhub {

/// Chooses the requests that are logged when there are too many for the limit. The choice depends on the request's id alone
/// and a power of two, so that a request's lines are whole or absent, and what a busy node keeps a calm one keeps too.
class log_sampler {
public:
    explicit log_sampler(uint32_t requestsPerSecond);

    /// Notes a request and returns whether its lines are written.
    auto sample(uint64_t idHash, time_point now) -> bool;
    /// One request in so many is logged.
    auto oneIn() const -> uint64_t { return uint64_t { 1 } << m_shift; }

private:
    uint32_t m_requestsPerSecond;
    uint32_t m_shift { 0 };
    uint64_t m_seen { 0 };
    time_point m_secondEnds {};
};

} // namespace gypsumhub
