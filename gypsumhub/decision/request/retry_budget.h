#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/request/borrow_gate.h"

#include <atomic>
#include <cstdint>

namespace gypsumhub {

/// Retry budget of one service: limits retries to a share of first attempts plus a small reserve, so that retries cannot amplify
/// an overload. Thread-safe.
class retry_budget {
public:
    /// The reserve that refills with time, and the capacity of the budget, in retries.
    static constexpr auto reserve = int64_t { 10 };
    static constexpr auto capacity = int64_t { 100 };

    /// Counts a first attempt, which adds `percent` hundredths of a retry.
    auto recordFirstAttempt(uint32_t percent) -> void;

    /// Spends one retry. Returns false when the budget is spent. The reserve refills by one retry per second.
    auto take(time_point now) -> bool;

    /// Whether the service's requests may borrow slots; `request_state` closes the gate when a target sheds.
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
