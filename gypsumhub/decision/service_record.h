#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/decision/failure_baseline.h"
#include "gypsumhub/decision/latency_baseline.h"
#include "gypsumhub/decision/recent_likelihoods.h"
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
    /// Members wanted in each data centre when the group was chosen; 0 before that.
    uint32_t groupMembers { 0 };
    duration overdueAfter { seconds(1) };
    latency_baseline latencies;
    recent_likelihoods slowness;
    failure_baseline failures;
    /// Exchanges since the last full second and the smoothed rate per second that follows from them.
    uint32_t recentExchanges { 0 };
    float exchangesPerSecond { 0 };
    /// Whether most targets look sick at once: the trouble is the service's, not one VM's.
    bool degraded { false };
    /// Until when the service counts as degraded after the last sign of it.
    time_point degradedUntil { 0 };
    /// Whether slot shares must be divided anew.
    bool slotsStale { true };
    /// Whether controllers must look at the service again before the next snapshot.
    bool changed { true };
    /// Whether the snapshot differs from the record.
    bool unpublished { true };

    /// The target with this key, or null.
    auto findTarget(vm_key) -> target_record*;
    /// The target with this key, or null.
    auto findTarget(vm_key) const -> const target_record*;
    /// Share of failures at the target's siblings in the last seconds, without the worst of them; 0 if too few failed.
    auto siblingFailureRate(const target_record&, time_point now) const -> float;
    /// Time in which the whole group has about twenty exchanges with one target.
    auto evidenceWindow() const -> duration;
    /// Least number of registered targets that stay in rotation by the operators' rule.
    auto floorCount() const -> size_t;
};

} // namespace gypsumhub
