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

/// Takes callers' HTTP requests, carries each to a target of its service and gives back the whole answer, an honest
/// refusal or an honest "unknown". Runs `requestThreads` threads of its own; they read the snapshot and take no lock.
///
/// The snapshot cell, the listener and the claim port must outlive the server.
class proxy_server {
public:
    proxy_server(proxy_server_settings, const rcu_cell<routing_snapshot>&, attempt_listener&, claim_port&);
    /// Stops at once if `join` was not called.
    ~proxy_server();
    proxy_server(const proxy_server&) = delete;
    auto operator=(const proxy_server&) -> proxy_server& = delete;

    /// Listens and starts the threads. Fails with `AddressInUse` or `SettingsInvalid`.
    auto start() -> leaf::result<void>;

    /// The port that the server listens on; valid after `start`.
    auto port() const -> uint16_t;

    /// Begins a planned stop: this node leaves the answers of `GET /v1/nodes`, goes on accepting until every answer that names
    /// it has expired, finishes the requests in flight and closes, at the latest at `shutdownDeadline`. Later calls change nothing.
    /// Any thread may call it.
    auto beginShutdown(time_point shutdownDeadline) -> void;

    /// Returns once a planned stop is complete.
    auto join() -> void;

    /// Closes the idle connections to a target; those in use finish. Any thread may call it.
    auto closeIdleConnections(vm_key) -> void;

    /// The counters; valid as long as the server.
    auto counters() const -> const proxy_counters&;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub
