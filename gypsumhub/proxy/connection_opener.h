#pragma once

#include "gypsumhub/proxy/request_cancellation.h"
#include "gypsumhub/proxy/target_connection.h"
#include "gypsumhub/proxy/thread_resources.h"

#include <memory>

namespace gypsumhub {

/// Requirements for a connection to a target or peer.
struct connection_query {
    /// Key of the target or peer.
    uint64_t key { 0 };
    const endpoint& address;
    /// Maximum connections to this target or peer that the thread may have in use.
    uint32_t share { 1 };
    /// Requires a connection that is new or was used within `freshLimit`.
    bool requireFresh { false };
    /// Requires a new connection; idle ones to the same target are closed.
    bool requireNew { false };
    /// Deadline of the request (wall clock).
    time_point deadline;
};

/// Result of `openConnection`.
struct opened_connection {
    /// Null when no connection could be opened.
    std::shared_ptr<target_connection> connection;
    /// Whether the other side refused the connection or did not accept it within the connect limit.
    bool failed { false };
};

/// Reuses a checked idle connection or connects a new one.
auto openConnection(thread_resources&, const connection_query&, request_cancellation&) -> task<opened_connection>;

/// Converts wall-clock time to steady-clock time by the time left until it.
auto toSteadyClock(time_point instant, time_point now) -> time_point;

/// Returns how many connections one request thread may hold to a target that `members` nodes share; at least 1.
auto connectionShare(const proxy_server_settings&, size_t members) -> uint32_t;

} // namespace gypsumhub
