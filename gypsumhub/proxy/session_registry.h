#pragma once

#include <cstddef>
#include <list>

namespace gypsumhub {

class caller_session;

/// Lists the callers' connections of one request thread. Connections that wait for a request are ordered by the time when they
/// became idle or received the first byte of a request, oldest first. Used only by that thread.
class session_registry {
public:
    using position = std::list<caller_session*>::iterator;

    /// Adds a connection that waits for its first request.
    auto add(caller_session&) -> position;
    /// Removes a connection; `waiting` states whether it waits for a request.
    auto remove(position, bool waiting) -> void;

    /// Moves a connection to the end of the waiting connections.
    auto moveToWaiting(position, bool wasWaiting) -> void;
    /// Moves a connection to the connections with a request in progress.
    auto moveToBusy(position) -> void;

    /// Closes the first waiting connection that is still open; false when there is none.
    auto evictOldest() -> bool;

    /// Closes the waiting connections on which no byte of a request has arrived.
    auto closeIdle() -> void;

    /// Closes all connections and cancels their requests.
    auto closeAll() -> void;

    auto size() const -> size_t { return m_waiting.size() + m_busy.size(); }

private:
    std::list<caller_session*> m_waiting;
    std::list<caller_session*> m_busy;
};

} // namespace gypsumhub
