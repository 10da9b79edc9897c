#pragma once

#include "gypsumhub/core/time_point.h"

#include <atomic>
#include <cstdint>

namespace gypsumhub {

/// Decides whether requests of one service may use a target's slot that belongs to another member of the group. Borrowing costs
/// nothing while the slots are idle. A shed request shows that they are busy and closes the gate with exponential backoff.
/// Thread-safe.
class borrow_gate {
public:
    /// Whether a slot may be borrowed at `now`.
    auto isOpen(time_point now) const -> bool { return now.ns >= m_closedUntilNs.load(std::memory_order_relaxed); }

    /// Closes the gate after a target shed a request.
    auto onShed(time_point now) -> void;

private:
    std::atomic<int64_t> m_closedUntilNs { 0 };
    /// Length of the latest closed time.
    std::atomic<int64_t> m_closedTimeNs { 0 };
};

} // namespace gypsumhub
