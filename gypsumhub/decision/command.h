#pragma once

#include "gypsumhub/decision/evidence.h"
#include "gypsumhub/decision/routing_snapshot.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace gypsumhub {

/// Replace the snapshot that request threads use.
struct publish_snapshot_command {
    std::shared_ptr<const routing_snapshot> snapshot;
};

/// Send one health probe on a new connection and report it as an attempt with `probe` set.
struct start_probe_command {
    service_key service;
    vm_key target;
    endpoint address;
    time_point deadline;
};

/// Send evidence to other members of the service's serving group.
struct send_evidence_command {
    std::vector<node_key> receivers;
    std::vector<evidence> items;
};

/// Close the idle connections to a target; connections in use stay open until their request ends.
struct close_idle_connections_command {
    vm_key target;
};

/// A target changed state; for logs, metrics and `explain`.
struct state_change_command {
    service_key service;
    vm_key target;
    health_state from { health_state::Healthy };
    health_state to { health_state::Healthy };
    /// The reason as one line of text, with the scores of the evidence.
    std::string reason;
};

/// Any command of the decision core.
using decision_command = std::variant<publish_snapshot_command, start_probe_command, send_evidence_command,
    close_idle_connections_command, state_change_command>;

/// Receives the core's commands in order. The core keeps no reference after the call.
class command_listener {
public:
    virtual ~command_listener() = default;
    virtual auto onCommand(decision_command) -> void = 0;
};

} // namespace gypsumhub
