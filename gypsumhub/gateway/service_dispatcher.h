#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/decision/selection/fleet_retry_budget.h"
#include "gypsumhub/decision/selection/late_admission.h"
#include "gypsumhub/decision/selection/load_balancer.h"
#include "gypsumhub/decision/selection/placement_queue.h"
#include "gypsumhub/gateway/placement_request.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gypsumhub {

/// How the wait for a target ended.
enum class placement_end : uint8_t {
    Placed,
    /// The request was not or could not be placed before it expired.
    NoCapacity,
    /// The service has no target that accepts requests.
    NoTarget,
    CallerLeft,
    /// The node has lost its paths to the targets.
    PathsLost,
};

/// The result of a placement. On `Placed` a slot of the target is taken and must be freed with `service_dispatcher::release`.
struct placement {
    placement_end end { placement_end::NoCapacity };
    std::shared_ptr<target_state> target;
    double probabilityBad { 0 };
    duration predictedWait;
    /// The permit to send the request to the target ends then.
    time_point sendBefore { never };
    /// How long this node had sent the target nothing before; zero if it never had.
    duration targetIdleTime {};
    /// The request waited behind those that could meet their latency target, or until it could not meet its own.
    bool waitedLate { false };
};

/// A waiting request, and the handle to cancel its wait.
struct placement_wait;

/// Dispatches the requests of one service on this node to targets. Holds the queue of waiting requests, the number of requests in
/// flight, and the retry budget.
class service_dispatcher {
public:
    /// `requestPermits` is called when a request would be placed at a target for which this node needs a permit.
    service_dispatcher(asio::io_context&, std::string service, load_balancer&, fleet_retry_budget::settings, std::function<void()> requestPermits);

    /// Waits for a target. Meanwhile `wait` holds the handle for `cancelWait`.
    auto place(placement_request, std::shared_ptr<placement_wait>& wait) -> task<placement>;
    auto cancelWait(placement_wait&) -> void;
    /// Frees a slot of the target and dispatches waiting requests.
    auto release(target_state&) -> void;
    /// Ends the wait of expired requests and places waiting requests while targets are free. Called on every change and tick.
    auto dispatchWaiting() -> void;
    /// Refuses the requests that are still waiting at this time.
    auto limitWaits(time_point latest) -> void { m_queue.limitExpiry(latest); }

    /// Ends all waits since the node has lost its paths to the targets.
    auto endWaits() -> void;

    /// How long the caller of a refused request is to wait if it has `timeLeft`. Only for services whose requests are served late.
    auto retryAfter(duration timeLeft) -> duration;

    auto retryBudget() -> fleet_retry_budget& { return m_retryBudget; }
    auto inFlight() const -> uint32_t { return m_inFlight; }
    auto waiting() const -> size_t { return m_queue.size(); }
    auto service() const -> const std::string& { return m_service; }

private:
    auto tryPlace(const placement_request&, time_point now) -> std::optional<placement>;
    auto finish(uint64_t ticket, placement) -> void;
    /// Decides whether an arrival may wait. Sets `isLate`.
    auto admit(waiting_request&, const service_capacity&, time_point now) -> placement_estimate;
    /// Refuses the requests that have missed their latency target and cannot be placed before they expire.
    auto refuseHopeless(time_point now) -> void;
    auto capacity() -> service_capacity { return { m_inFlight, 0, m_balancer.model(m_service).meanResponseTime() }; }

    asio::io_context& m_context;
    std::string m_service;
    load_balancer& m_balancer;
    fleet_retry_budget m_retryBudget;
    std::function<void()> m_requestPermits;
    placement_queue m_queue;
    late_admission m_admission { m_queue };
    std::map<uint64_t, std::shared_ptr<placement_wait>> m_waits;
    uint64_t m_lastTicket { 0 };
    uint32_t m_inFlight { 0 };
};

} // namespace gypsumhub
