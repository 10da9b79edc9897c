#pragma once

#include <cstddef>
#include <list>

namespace gypsumhub {

class caller_session;

/// The callers' connections of one request thread, those that wait for a request in order of how long they have waited.
class session_registry {
public:
    using position = std::list<caller_session*>::iterator;

    /// Adds a connection that waits for its first request.
    auto add(caller_session&) -> position;
    auto remove(position, bool waiting) -> void;

    /// Moves a connection to the end of the waiting ones.
    auto moveToWaiting(position, bool wasWaiting) -> void;
    /// Moves a connection to those with a request in work.
    auto moveToBusy(position) -> void;

    /// Closes the connection that has waited longest for its request to be complete; false when none waits.
    auto evictOldest() -> bool;

    /// Closes the connections on which no byte of a request has arrived.
    auto closeIdle() -> void;

    /// Closes every connection and cancels its request.
    auto closeAll() -> void;

    auto size() const -> size_t { return m_waiting.size() + m_busy.size(); }

private:
    std::list<caller_session*> m_waiting;
    std::list<caller_session*> m_busy;
};

} // namespace gypsumhub
