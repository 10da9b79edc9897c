#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/decision/health_state.h"
#include "gypsumhub/decision/target_load.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The data about one target that request threads use.
struct target_view {
    vm_key key;
    endpoint address;
    health_state state { health_state::Healthy };
    /// 0 same data centre, 1 same region, 2 other region.
    uint8_t distance { 0 };
    /// Slots of the target that belong to this node: requests that it may have in flight there.
    uint16_t slotShare { 0 };
    /// Weight in thousandths: 1000 when healthy, less when demoted, on trial or in slow start.
    uint16_t weight { 1000 };
    std::shared_ptr<target_load> load;
};

/// One member of a serving group. `distance` is the distance from this node.
struct member_view {
    node_key key;
    endpoint callerAddress;
    uint8_t distance { 0 };
    std::string dataCentre;

    auto operator==(const member_view&) const -> bool = default;
};

/// The data about one service that request threads use.
struct service_view {
    std::shared_ptr<const service_spec> spec;
    /// Targets in rotation, in order of key. Ejected and leaving targets are absent.
    std::vector<target_view> targets;
    /// The serving group, nearest first.
    std::vector<member_view> group;
    /// Whether this node belongs to the group.
    bool servedHere { true };
    /// Time after which an attempt counts as overdue, see `latency_baseline::overdueAfter`.
    duration overdueAfter { seconds(1) };
};

/// The routing data that request threads read: immutable, replaced as a whole under RCU.
struct routing_snapshot {
    /// Increases by one with each snapshot of this process.
    uint64_t version { 0 };
    std::shared_ptr<const configuration> config;
    /// In order of service key.
    std::vector<service_view> services;

    /// The service with this key, or null.
    auto findService(service_key) const -> const service_view*;
    /// The service of the longest route that matches `path`, or null.
    auto findRoute(std::string_view path) const -> const service_view*;
};

} // namespace gypsumhub
