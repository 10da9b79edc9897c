#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>

namespace gypsumhub {

/// Rate limiter with a bounded burst, by the generic cell rate algorithm, which is equivalent to a token bucket. Its state is one instant, the
/// theoretical arrival time of the next call.
class call_budget {
public:
    /// Rate and burst of the admitted calls.
    struct settings {
        uint32_t callsPerSecond { 20 };
        /// Calls that are admitted at once when there were no calls for long enough.
        uint32_t burst { 100 };
    };

    explicit call_budget(settings);

    /// Admits a call and returns true, or refuses it and returns false when the budget is spent.
    auto tryAcquire(time_point now) -> bool;
    /// The earliest instant at which `tryAcquire` succeeds.
    auto nextAllowed() const -> time_point;
    auto admitted() const -> uint64_t { return m_admitted; }
    auto refused() const -> uint64_t { return m_refused; }

private:
    duration m_interval;
    duration m_tolerance;
    time_point m_theoreticalArrival;
    uint64_t m_admitted { 0 };
    uint64_t m_refused { 0 };
};

} // namespace gypsumhub
