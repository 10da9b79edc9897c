#pragma once

#include "gypsumhub/core/time_point.h"

#include <atomic>
#include <cstdint>

namespace gypsumhub {

/// Tells whether one service's requests may try a target's slot that belongs to another member of the group. Borrowing is free
/// while the slots are idle; a target that sheds says that they are not, and closes the gate for a time that doubles with
/// each further shed. Any number of threads may call it at once.
class borrow_gate {
public:
    /// Whether a slot may be borrowed at `now`.
    auto isOpen(time_point now) const -> bool { return now.ns >= m_closedUntilNs.load(std::memory_order_relaxed); }

    /// A target shed a request.
    auto onShed(time_point now) -> void;

private:
    std::atomic<int64_t> m_closedUntilNs { 0 };
    std::atomic<int64_t> m_closingNs { 0 };
};

} // namespace gypsumhub
