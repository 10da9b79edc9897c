#pragma once

#include "gypsumhub/proxy/request_cancellation.h"
#include "gypsumhub/proxy/target_connection.h"
#include "gypsumhub/proxy/thread_resources.h"

#include <memory>

namespace gypsumhub {

/// Which connection is wanted.
struct connection_query {
    /// Key of the target or peer.
    uint64_t key { 0 };
    const endpoint& address;
    /// Connections that this thread may have in use there.
    uint32_t share { 1 };
    /// Whether the connection must be new or used very recently.
    bool requireFresh { false };
    /// Whether the connection must be new.
    bool requireNew { false };
    /// Deadline of the request (wall clock).
    time_point deadline;
};

/// How the wish for a connection ended.
struct opened_connection {
    /// Null when there is none.
    std::shared_ptr<target_connection> connection;
    /// Whether the other side is to blame: it refused, or did not answer within the connect limit.
    bool failed { false };
};

/// Takes a checked idle connection or connects a new one.
auto openConnection(thread_resources&, const connection_query&, request_cancellation&) -> task<opened_connection>;

/// An instant of the wall clock as an instant of the steady clock, by what is left until it.
auto toSteadyClock(time_point instant, time_point now) -> time_point;

/// Connections that one request thread may hold to a target that `members` nodes share.
auto connectionShare(const proxy_server_settings&, size_t members) -> uint32_t;

} // namespace gypsumhub
