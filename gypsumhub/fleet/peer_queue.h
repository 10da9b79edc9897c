#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/peer_message.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace gypsumhub {

/// Messages that wait for a connection to one peer: bounded, the oldest is dropped first.
class peer_queue {
public:
    /// Adds a message that is worth sending until `deadline`. Returns how many older ones were dropped for it.
    auto push(peer_message, time_point deadline) -> std::size_t;

    /// Drops messages whose deadline has passed and returns how many.
    auto dropExpired(time_point now) -> std::size_t;

    /// Takes the oldest messages, as many as go well into one frame.
    auto takeBatch() -> std::vector<peer_message>;

    auto empty() const -> bool { return m_entries.empty(); }

private:
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
