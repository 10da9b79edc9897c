#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/decision/routing_snapshot.h"
#include "gypsumhub/decision/target_record.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace gypsumhub {

/// One service on the blackboard.
struct service_record {
    std::shared_ptr<const service_spec> spec;
    /// In order of key.
    std::vector<target_record> targets;
    /// Nearest first.
    std::vector<member_view> group;
    bool servedHere { true };
    duration overdueAfter { seconds(1) };
    /// Whether controllers must look at the service again before the next snapshot.
    bool changed { true };
    /// Whether the snapshot differs from the record.
    bool unpublished { true };

    /// The target with this key, or null.
    auto findTarget(vm_key) -> target_record*;
    /// The target with this key, or null.
    auto findTarget(vm_key) const -> const target_record*;
    /// Least number of registered targets that stay in rotation by the operators' rule.
    auto floorCount() const -> size_t;
};

} // namespace gypsumhub
