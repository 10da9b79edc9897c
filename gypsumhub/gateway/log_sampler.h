#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>

namespace gypsumhub {

/// Samples the requests that are logged when there are more than the limit. The decision depends only on the request's id and a
/// power of two. Either all lines of a request are logged or none, and a request that a busy node logs is also logged by every
/// less busy node.
class log_sampler {
public:
    explicit log_sampler(uint32_t requestsPerSecond);

    /// Counts a request and returns whether it is logged.
    auto sample(uint64_t idHash, time_point now) -> bool;
    /// The current sampling rate: one request in `oneIn()` is logged.
    auto oneIn() const -> uint64_t { return uint64_t { 1 } << m_shift; }

private:
    uint32_t m_requestsPerSecond;
    /// Base-2 logarithm of `oneIn()`.
    uint32_t m_shift { 0 };
    uint64_t m_seen { 0 };
    time_point m_secondEnds {};
};

} // namespace gypsumhub
