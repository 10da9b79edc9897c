#pragma once

#include "gypsumhub/config/gateway_settings.h"
#include "gypsumhub/config/route_table.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/node_roster.h"
#include "gypsumhub/decision/selection/registration_view.h"
#include "gypsumhub/decision/selection/target_board.h"
#include "gypsumhub/decision/selection/weighted_turns.h"
#include "gypsumhub/gateway/gateway_counters.h"
#include "gypsumhub/gateway/link_pool.h"
#include "gypsumhub/gateway/log_lines.h"
#include "gypsumhub/gateway/node_datagram.h"
#include "gypsumhub/gateway/service_lane.h"

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

    auto lane(std::string_view service) -> service_lane&;
    auto turnsOf(const route&) -> weighted_turns&;
    auto regionOf(std::string_view dataCentre) const -> std::string;
    /// Whether the node knows routes and targets.
    auto isInformed() const -> bool { return routes && knowsTargets; }
    auto groupGoal() const -> group_goal { return { settings.directoryNodes, settings.directorySize }; }
    /// Takes in an outcome that this node saw and tells the other nodes when it is news to them. A fault that may lie in
    /// the path to the target is not told: other nodes have other paths.
    auto noteOutcome(target_state&, outcome_kind, time_point sentAt, bool mayBePath) -> void;
    /// Takes in an outcome that another node saw.
    auto noteTold(const told_outcome&, std::string_view sender) -> void;
    auto logChange(const target_state&, belief_change, outcome_kind, std::string_view seenBy) -> void;

    asio::io_context io { 1 };
    gateway_settings settings;
    random_generator random;
    log_lines log;
    gateway_counters counters;
    /// Null until a configuration is known.
    std::shared_ptr<const route_table> routes;
    target_board board;
    node_roster roster;
    registration_view view;
    /// When the view was last known to be the store's.
    time_point viewConfirmedAt {};
    link_pool links;
    std::list<active_attempt> attempts;
    std::map<std::string, std::unique_ptr<service_lane>, std::less<>> lanes;
    std::map<std::string, weighted_turns, std::less<>> turns;
    /// Sends outcomes to the other nodes; set by the node.
    std::function<void(std::vector<told_outcome>)> tell;
    uint32_t openRequests { 0 };
    time_point startedAt;
    /// Requests that wait for routes and targets.
    uint32_t heldAtStart { 0 };
    /// Whether the registrations of targets were read at least once.
    bool knowsTargets { false };
    bool isStopping { false };
    /// From here on new requests are refused, since the process ends before they would.
    time_point refuseFrom { never };
};

} // namespace gypsumhub
