#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/request/borrow_gate.h"

#include <atomic>
#include <cstdint>

namespace gypsumhub {

/// Limits the retries of one service to a share of its first attempts plus a small reserve, so that retries cannot multiply
/// an overload. Any number of threads may call it at once.
class retry_budget {
public:
    /// The reserve, and the most that can be saved up, in retries.
    static constexpr auto reserve = int64_t { 10 };
    static constexpr auto capacity = int64_t { 100 };

    /// Counts a first attempt, which earns `percent` hundredths of a retry.
    auto recordFirstAttempt(uint32_t percent) -> void;

    /// Takes one retry; false when the budget is spent. The reserve refills by one retry a second.
    auto take(time_point now) -> bool;

    /// Whether the service's requests may borrow slots; learns from the sheds that `request_state` sees.
    auto borrowing() -> borrow_gate& { return m_borrowing; }
    auto borrowing() const -> const borrow_gate& { return m_borrowing; }

    /// Whole retries that are left.
    auto left() const -> int64_t;

private:
    auto refill(time_point now) -> void;

    // In hundredths of a retry.
    std::atomic<int64_t> m_left { reserve * 100 };
    std::atomic<int64_t> m_nextRefillNs { 0 };
    borrow_gate m_borrowing;
};

} // namespace gypsumhub
