#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/peer_message.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace gypsumhub {

/// Bounded queue of messages to one peer; drops the oldest first.
class peer_queue {
public:
    /// Adds a message that expires at `deadline`. Returns how many older ones were dropped to stay within the limits.
    auto push(peer_message, time_point deadline) -> std::size_t;

    /// Drops messages whose deadline has passed and returns how many.
    auto dropExpired(time_point now) -> std::size_t;

    /// Removes and returns the oldest messages, as many as fit into one batch but at least one.
    auto takeBatch() -> std::vector<peer_message>;

    auto empty() const -> bool { return m_entries.empty(); }

private:
    /// A message with its estimated size and expiry.
    struct entry {
        peer_message message;
        std::size_t bytes;
        time_point deadline;
    };

    auto popFront() -> peer_message;

    std::deque<entry> m_entries;
    std::size_t m_bytes { 0 };
};

} // namespace gypsumhub
