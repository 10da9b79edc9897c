#pragma once

#include "gypsumhub/config/gateway_settings.h"
#include "gypsumhub/config/route_table.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/buffer_budget.h"
#include "gypsumhub/decision/selection/demand_meter.h"
#include "gypsumhub/decision/selection/load_balancer.h"
#include "gypsumhub/decision/selection/membership_view.h"
#include "gypsumhub/decision/selection/path_monitor.h"
#include "gypsumhub/decision/selection/poison_request_detector.h"
#include "gypsumhub/decision/selection/registration_view.h"
#include "gypsumhub/decision/selection/shutdown_schedule.h"
#include "gypsumhub/decision/selection/weighted_round_robin.h"
#include "gypsumhub/gateway/caller_registry.h"
#include "gypsumhub/gateway/gateway_counters.h"
#include "gypsumhub/gateway/json_logger.h"
#include "gypsumhub/gateway/node_datagram.h"
#include "gypsumhub/gateway/service_dispatcher.h"
#include "gypsumhub/gateway/target_connection_pool.h"
#include "gypsumhub/gateway/unanswered_requests.h"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace gypsumhub {

/// A connection inside the deployment takes less than a tenth of this; the rest allows for one lost packet.
constexpr auto connectTimeout = milliseconds(450);

/// When a caller is to come back if no target is available: time for one to register or recover.
constexpr auto defaultRetryAfter = milliseconds(400);

/// A request in flight at a target, or at the node that it was relayed to; `target` is then null.
struct active_attempt {
    std::shared_ptr<target_state> target;
    time_point sentAt;
    bool isStalled { false };
    std::shared_ptr<target_http_connection> connection {};
    /// Called once when the answer exceeds the stall threshold of the service, or is not there at `resendAt`.
    std::function<void()> onStall {};
    /// Replaces the stall threshold of the service if it is set.
    time_point resendAt { never };
};

/// The state shared by the parts of a gateway node. Used by a single thread, since the machines have only a fraction of a core.
struct gateway_context {
    explicit gateway_context(gateway_settings);

    auto dispatcher(std::string_view service) -> service_dispatcher&;
    auto roundRobinOf(const route&) -> weighted_round_robin&;
    auto regionOf(std::string_view dataCentre) const -> std::string;
    /// Whether the node has received routes and target registrations.
    auto isInitialized() const -> bool { return routes && hasTargetListing; }
    /// Holds a request for a limited time while the node starts and has no routes or targets yet. Ends early once `isCancelled`.
    auto awaitInitialized(time_point arrivedAt, const bool& isCancelled) -> task<>;
    auto groupRequirement() const -> group_requirement { return { settings.directoryNodes, settings.directorySize }; }
    /// The share of the retry reserve of the fleet that this node may use for a host.
    auto retryReserveShare(std::string_view host, time_point now) const -> double;
    /// Records an outcome seen by this node and sends it to the other nodes when it is informative. `mayBePath` marks a fault that
    /// may lie in the network path to the target; it is not sent, since other nodes have other paths.
    auto recordOutcome(target_state&, outcome_kind, time_point sentAt, bool mayBePath) -> void;
    auto pathsTo(std::string_view service) -> path_monitor&;
    /// Whether this node has lost its paths to all targets of the service.
    auto hasLostPaths(std::string_view service) const -> bool;
    /// Hosts with a service to whose targets this node has lost its paths, at most `maxHelloHosts`.
    auto lostHosts() const -> std::vector<std::string>;
    /// Records the result of opening a connection to a target of the service.
    auto recordConnect(std::string_view service, std::string_view target, bool isOpen, time_point startedAt) -> void;
    /// Records an answer of a target that did not run a request since it was full or asks for a pause.
    auto recordDecline(target_state&, const http::response_header<>&, time_point now) -> void;
    /// When a caller is to come back that was refused since no target of the service takes requests.
    auto noTargetRetryAfter(std::string_view service) -> duration;
    /// Records an outcome received from another node.
    auto recordPeerOutcome(const peer_outcome&, std::string_view sender) -> void;
    auto logHealthChange(const target_state&, health_change, outcome_kind, std::string_view seenBy) -> void;

    gateway_settings settings;
    /// Before `io`, whose unfinished operations hold reservations.
    buffer_budget buffers;
    /// Before `io`, whose unfinished operations hold handlers.
    unanswered_requests unanswered;
    /// Before `io` as well: connections leave it when they are destroyed.
    caller_registry callers;
    asio::io_context io { 1 };
    random_generator random;
    json_logger log;
    gateway_counters counters;
    /// Null until a configuration is in force.
    std::shared_ptr<const route_table> routes;
    load_balancer balancer;
    membership_view memberView;
    registration_view view;
    poison_request_detector poisonRequests;
    /// By service.
    std::map<std::string, path_monitor, std::less<>> paths;
    /// By service, until when no request is relayed.
    std::map<std::string, time_point, std::less<>> relayDeniedUntil;
    /// The era in the latest answer of the store; 0 before the first one.
    uint16_t storeEra { 0 };
    /// When the view was last known to match the store.
    time_point viewConfirmedAt {};
    target_connection_pool connections;
    /// Connections to other nodes by their names.
    target_connection_pool relayConnections;
    demand_meter demand;
    std::list<active_attempt> attempts;
    std::map<std::string, std::unique_ptr<service_dispatcher>, std::less<>> dispatchers;
    std::map<std::string, weighted_round_robin, std::less<>> roundRobins;
    /// Sends outcomes to the other nodes of the region; set by `gateway_node`.
    std::function<void(std::vector<peer_outcome>)> broadcastOutcomes;
    /// Called when a request to a target ended without an answer since its connection ended; set by `gateway_node`.
    std::function<void(std::shared_ptr<target_state>, const request_identity&)> onRequestLost;
    /// Called with the head of each answer of a target and when the request was sent; set by `gateway_node`.
    std::function<void(const target_registration&, const http::response_header<>&, time_point)> onAnswerHead;
    /// Called when a target answered a request with success; set by `gateway_node`.
    std::function<void(const request_identity&)> onRequestSucceeded;
    /// Called when a request would be placed at a target for which this node needs a permit; set by `gateway_node`.
    std::function<void()> onPermitsNeeded;
    uint32_t openRequests { 0 };
    time_point startedAt;
    /// Requests held until the node is initialized.
    uint32_t heldRequests { 0 };
    /// Whether the target registrations have been listed at least once.
    bool hasTargetListing { false };
    shutdown_schedule shutdown;
};

} // namespace gypsumhub
