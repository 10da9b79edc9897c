#pragma once

#include "gypsumhub/config/gateway_settings.h"
#include "gypsumhub/config/route_table.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/load_balancer.h"
#include "gypsumhub/decision/selection/membership_view.h"
#include "gypsumhub/decision/selection/registration_view.h"
#include "gypsumhub/decision/selection/weighted_round_robin.h"
#include "gypsumhub/gateway/gateway_counters.h"
#include "gypsumhub/gateway/link_pool.h"
#include "gypsumhub/gateway/log_lines.h"
#include "gypsumhub/gateway/node_datagram.h"
#include "gypsumhub/gateway/service_dispatcher.h"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace gypsumhub {

/// A request that is at a target.
struct active_attempt {
    std::shared_ptr<target_state> target;
    time_point sentAt;
    bool isStalled { false };
    /// Called once when the answer is overdue.
    std::function<void()> onStall;
};

/// The blackboard of a gateway node: what its parts read and write. One thread; the machines have a fraction of a core.
struct gateway_context {
    explicit gateway_context(gateway_settings);

    auto dispatcher(std::string_view service) -> service_dispatcher&;
    auto roundRobinOf(const route&) -> weighted_round_robin&;
    auto regionOf(std::string_view dataCentre) const -> std::string;
    /// Whether the node knows routes and targets.
    auto isInitialized() const -> bool { return routes && hasTargets; }
    auto groupRequirement() const -> group_requirement { return { settings.directoryNodes, settings.directorySize }; }
    /// Takes in an outcome that this node saw and tells the other nodes when it is news to them. A fault that may lie in
    /// the path to the target is not told: other nodes have other paths.
    auto recordOutcome(target_state&, outcome_kind, time_point sentAt, bool mayBePath) -> void;
    /// Takes in an outcome that another node saw.
    auto recordPeerOutcome(const peer_outcome&, std::string_view sender) -> void;
    auto logHealthChange(const target_state&, health_change, outcome_kind, std::string_view seenBy) -> void;

    asio::io_context io { 1 };
    gateway_settings settings;
    random_generator random;
    log_lines log;
    gateway_counters counters;
    /// Null until a configuration is known.
    std::shared_ptr<const route_table> routes;
    load_balancer balancer;
    membership_view memberView;
    registration_view view;
    /// When the view was last known to be the store's.
    time_point viewConfirmedAt {};
    link_pool links;
    std::list<active_attempt> attempts;
    std::map<std::string, std::unique_ptr<service_dispatcher>, std::less<>> dispatchers;
    std::map<std::string, weighted_round_robin, std::less<>> roundRobins;
    /// Sends outcomes to the other nodes; set by the node.
    std::function<void(std::vector<peer_outcome>)> broadcastOutcomes;
    uint32_t openRequests { 0 };
    time_point startedAt;
    /// Requests that wait for routes and targets.
    uint32_t heldRequests { 0 };
    /// Whether the registrations of targets were read at least once.
    bool hasTargets { false };
    bool isStopping { false };
    /// From here on new requests are refused, since the process ends before they would.
    time_point refuseFrom { never };
};

} // namespace gypsumhub
