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

/// State of one service on the blackboard.
struct service_record {
    std::shared_ptr<const service_spec> spec;
    /// In order of key.
    std::vector<target_record> targets;
    /// Nearest first.
    std::vector<member_view> group;
    bool servedHere { true };
    /// Members per data centre that the group was chosen with; 0 before that.
    uint32_t groupMembers { 0 };
    duration overdueAfter { seconds(1) };
    latency_baseline latencies;
    recent_likelihoods slowness;
    failure_baseline failures;
    /// Exchanges since the last full second and the smoothed rate per second that follows from them.
    uint32_t recentExchanges { 0 };
    float exchangesPerSecond { 0 };
    /// Whether many targets are suspected at once: the failure is the service's and not one VM's, so no target is ejected.
    bool degraded { false };
    /// The service stays degraded at least until this time.
    time_point degradedUntil { 0 };
    /// Whether slot shares must be recomputed.
    bool slotsStale { true };
    /// Whether the controllers' steps must run for the service before the next snapshot.
    bool changed { true };
    /// Whether the published snapshot may differ from the record.
    bool unpublished { true };

    /// The target with this key, or null.
    auto findTarget(vm_key) -> target_record*;
    /// The target with this key, or null.
    auto findTarget(vm_key) const -> const target_record*;
    /// Share of failures at the target's siblings in the last seconds, without the worst of them; 0 if too few failed.
    auto siblingFailureRate(const target_record&, time_point now) const -> float;
    /// Time in which the whole group has about twenty exchanges with one target.
    auto evidenceWindow() const -> duration;
    /// Minimum number of targets in rotation that the operators' rules require.
    auto floorCount() const -> size_t;
};

} // namespace gypsumhub
