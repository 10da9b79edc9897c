#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/health_state.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// A change of the state of a target on a node.
struct replayed_change {
    time_point at;
    node_key node;
    service_key service;
    vm_key target;
    health_state to { health_state::Healthy };
    std::string reason;
};

/// Number of targets of a service that are in rotation on a node from an instant on.
struct replayed_rotation {
    time_point at;
    node_key node;
    service_key service;
    size_t count { 0 };
};

/// A request of a load that a node sent to a target.
struct replayed_request {
    time_point at;
    service_key service;
    vm_key target;
};

/// Results of a replay. Each list is sorted by time.
struct replay_log {
    std::vector<replayed_change> changes;
    std::vector<replayed_rotation> rotations;
    /// Requests of all loads that had a target.
    std::vector<replayed_request> requests;
    uint64_t probes { 0 };
    /// Requests for which no target was available.
    uint64_t refused { 0 };
    /// Evidence items sent, counted once for each receiver.
    uint64_t evidenceItems { 0 };
};

} // namespace gypsumhub
