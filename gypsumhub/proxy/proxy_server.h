#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/rcu_cell.h"
#include "gypsumhub/decision/routing_snapshot.h"
#include "gypsumhub/proxy/attempt_listener.h"
#include "gypsumhub/proxy/claim_port.h"
#include "gypsumhub/proxy/proxy_counters.h"
#include "gypsumhub/proxy/proxy_server_settings.h"

#include <memory>

namespace gypsumhub {

/// Forwards callers' HTTP requests to targets and returns the target's complete answer, or a refusal that states whether the
/// request ran, did not run, or may have run. Runs `requestThreads` threads, which read the snapshot without locks.
///
/// The snapshot cell, the listener and the claim port must outlive the server.
class proxy_server {
public:
    proxy_server(proxy_server_settings, const rcu_cell<routing_snapshot>&, attempt_listener&, claim_port&);
    /// Stops immediately, without a graceful shutdown, if `join` was not called.
    ~proxy_server();
    proxy_server(const proxy_server&) = delete;
    auto operator=(const proxy_server&) -> proxy_server& = delete;

    /// Opens the span log, listens and starts the threads. Fails with `FileUnreadable`, `AddressInUse` or `SettingsInvalid`.
    auto start() -> leaf::result<void>;

    /// Returns the port that the server listens on; valid after `start`.
    auto port() const -> uint16_t;

    /// Begins a graceful shutdown. Answers to `GET /v1/nodes` omit this node. It accepts connections until every answer that
    /// lists it has expired, but for at most half of the time left, then finishes the requests in flight and closes, no later
    /// than `shutdownDeadline`. Later calls have no effect. Any thread may call it.
    auto beginShutdown(time_point shutdownDeadline) -> void;

    /// Blocks until the shutdown is complete.
    auto join() -> void;

    /// Closes the idle connections to a target; connections in use finish their exchange. Any thread may call it.
    auto closeIdleConnections(vm_key) -> void;

    /// Returns the counters; valid for the lifetime of the server.
    auto counters() const -> const proxy_counters&;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub
