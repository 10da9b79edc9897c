#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>

namespace gypsumhub {

/// Estimates how many requests of other nodes are at one target.
///
/// Targets do not report their load. Requests of other nodes show only in declines, which mean that the queue of the target was full, and
/// in answers that took longer than expected. Both raise the estimate; it decays, since the load changes within some seconds.
class other_load {
public:
    /// The expected number of requests.
    auto expected(time_point now) const -> double;
    /// Records that the target declined a request because it was full.
    auto recordDecline(uint32_t slots, time_point now) -> void;
    /// Records how long an answer took. `usual` is the mean time of such a request at this target.
    auto recordAnswer(duration took, duration usual, uint32_t slots, time_point now) -> void;

private:
    double m_requests { 0 };
    time_point m_estimatedAt {};
};

} // namespace gypsumhub
