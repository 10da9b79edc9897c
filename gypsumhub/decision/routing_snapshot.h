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

/// One target as request threads see it.
struct target_view {
    vm_key key;
    endpoint address;
    health_state state { health_state::Healthy };
    /// 0 same data centre, 1 same region, 2 other region.
    uint8_t distance { 0 };
    /// Requests that this node may have in flight there.
    uint16_t slotShare { 0 };
    /// Share of a full turn, in thousandths: 1000 healthy, less when demoted or on trial.
    uint16_t weight { 1000 };
    std::shared_ptr<target_load> load;
};

/// One member of a serving group.
struct member_view {
    node_key key;
    endpoint callerAddress;
    uint8_t distance { 0 };
    std::string dataCentre;

    auto operator==(const member_view&) const -> bool = default;
};

/// One service as request threads see it.
struct service_view {
    std::shared_ptr<const service_spec> spec;
    /// Targets that may take work, in order of key. Ejected and leaving targets are absent.
    std::vector<target_view> targets;
    /// The serving group, nearest first.
    std::vector<member_view> group;
    /// Whether this node belongs to the group.
    bool servedHere { true };
    /// Latency in the service's own spread after which an attempt counts as overdue.
    duration overdueAfter { seconds(1) };
};

/// Everything that a request thread reads: immutable, replaced as a whole under RCU.
struct routing_snapshot {
    /// Grows by one with each snapshot of this process.
    uint64_t version { 0 };
    std::shared_ptr<const configuration> config;
    /// In order of service key.
    std::vector<service_view> services;

    /// The service with this key, or null.
    auto findService(service_key) const -> const service_view*;
    /// The service that the longest matching route of `path` leads to, or null.
    auto findRoute(std::string_view path) const -> const service_view*;
};

} // namespace gypsumhub
