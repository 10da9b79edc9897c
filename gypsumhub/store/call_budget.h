#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>

namespace gypsumhub {

/// A hard limit on calls per second with a bounded burst (the generic cell rate algorithm). Its only state is the deadline
/// up to which calls have been paid for.
class call_budget {
public:
    struct settings {
        uint32_t callsPerSecond { 20 };
        /// Calls that may come at once after a quiet time.
        uint32_t burst { 100 };
    };

    explicit call_budget(settings);

    /// Takes one call, or refuses it when the budget is spent.
    auto take(time_point now) -> bool;
    /// The instant from which `take` succeeds again.
    auto nextAllowed() const -> time_point;
    auto taken() const -> uint64_t { return m_taken; }
    auto refused() const -> uint64_t { return m_refused; }

private:
    duration m_interval;
    duration m_tolerance;
    time_point m_paidUntil;
    uint64_t m_taken { 0 };
    uint64_t m_refused { 0 };
};

} // namespace gypsumhub
