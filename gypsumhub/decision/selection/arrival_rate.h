#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/selection/queue_flow.h"

#include <cstdint>

namespace gypsumhub {

/// An estimate of a rate of arrivals for the division of a limit. Answers the load of customers of very different size whose callers may move
/// to another data centre: an estimate over a short time follows them, but with few arrivals it is mostly chance, and each change of a lease
/// leaves a part of the limit unused until the next renewal.
class arrival_rate {
public:
    auto add(uint32_t count, time_point now) -> void;
    auto perSecond(time_point now) const -> double;

private:
    decaying_rate m_fast { milliseconds(700) };
    decaying_rate m_slow { milliseconds(5'000) };
    time_point m_beganAt { never };
};

} // namespace gypsumhub
