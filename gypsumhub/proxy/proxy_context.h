#pragma once

#include "gypsumhub/core/rcu_cell.h"
#include "gypsumhub/decision/routing_snapshot.h"
#include "gypsumhub/proxy/attempt_listener.h"
#include "gypsumhub/proxy/claim_port.h"
#include "gypsumhub/proxy/proxy_counters.h"
#include "gypsumhub/proxy/proxy_server_settings.h"
#include "gypsumhub/proxy/service_shared_state.h"
#include "gypsumhub/proxy/span_tracer.h"

#include <atomic>
#include <functional>
#include <memory>

namespace gypsumhub {

/// State that all request threads of one `proxy_server` share. All members are immutable or safe for concurrent use.
struct proxy_context {
    const proxy_server_settings& settings;
    const rcu_cell<routing_snapshot>& snapshot;
    attempt_listener& attempts;
    claim_port& claims;
    proxy_counters& counters;
    /// Null when spans are off.
    std::shared_ptr<const span_tracer> tracer;
    /// Whether shutdown has begun. From then on, answers to `GET /v1/nodes` omit this node, and each connection of a caller
    /// closes after its next answer.
    std::atomic<bool> stopping { false };
    /// Whether the server has stopped accepting connections. From then on, idle connections of callers are closed and
    /// connections to targets are not pooled.
    std::atomic<bool> closing { false };
    /// Whether the event loops have stopped; remaining handlers only clean up.
    std::atomic<bool> loopsStopped { false };
    /// Buffered request and answer bytes; limited by `maxBufferedBytes`.
    mutable std::atomic<uint64_t> bufferedBytes { 0 };
    /// Latest expiry of an answer to `GET /v1/nodes` that lists this node, as wall-clock nanoseconds.
    mutable std::atomic<int64_t> advertisedUntil { 0 };

    /// Retry budget and waiting count of each service.
    service_shared_state_table services;
    /// Notifies the other request threads of a free slot of the service. The number is the index of the thread that released it.
    std::function<void(service_key, uint32_t)> notifyFreeSlot;

    auto now() const -> time_point { return settings.clock(); }
};

} // namespace gypsumhub
