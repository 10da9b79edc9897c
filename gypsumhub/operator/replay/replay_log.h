#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/health_state.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// A target's state changed on a node.
struct replayed_change {
    time_point at;
    node_key node;
    service_key service;
    vm_key target;
    health_state to { health_state::Healthy };
    std::string reason;
};

/// Targets of a service in rotation on a node since an instant.
struct replayed_rotation {
    time_point at;
    node_key node;
    service_key service;
    size_t count { 0 };
};

/// A request of a load went to a target.
struct replayed_request {
    time_point at;
    service_key service;
    vm_key target;
};

/// What happened in a replay, each list in order of time.
struct replay_log {
    std::vector<replayed_change> changes;
    std::vector<replayed_rotation> rotations;
    std::vector<replayed_request> work;
    uint64_t probes { 0 };
    uint64_t refused { 0 };
    uint64_t evidenceItems { 0 };
};

} // namespace gypsumhub
