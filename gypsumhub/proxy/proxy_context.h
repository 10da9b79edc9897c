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

/// What all request threads of one `proxy_server` share. Everything in it is immutable or atomic.
struct proxy_context {
    const proxy_server_settings& settings;
    const rcu_cell<routing_snapshot>& snapshot;
    attempt_listener& attempts;
    claim_port& claims;
    proxy_counters& counters;
    /// Writes a span for each hop; null when spans are off.
    std::shared_ptr<const span_tracer> tracer;
    /// Whether a planned stop has begun: answers of `GET /v1/nodes` leave this node out.
    std::atomic<bool> stopping { false };
    /// Whether connections shall close as soon as their request is answered.
    std::atomic<bool> closing { false };
    /// Whether the event loops have ended and only clean up.
    std::atomic<bool> loopsStopped { false };
    /// Request and answer bytes held now.
    mutable std::atomic<uint64_t> bufferedBytes { 0 };
    /// Latest deadline of an answer of `GET /v1/nodes` that named this node, in nanoseconds.
    mutable std::atomic<int64_t> advertisedUntil { 0 };

    /// What the threads share of each service.
    service_shared_state_table services;
    /// Tells the other request threads that a slot of the service became free; called with the index of the thread that freed it.
    std::function<void(service_key, uint32_t)> notifyFreeSlot;

    auto now() const -> time_point { return settings.clock(); }
};

} // namespace gypsumhub
