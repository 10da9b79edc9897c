#pragma once

#include "fakes/schedule.h"
#include "gypsumhub/decision/attempt_report.h"
#include "gypsumhub/decision/request/slot_lease.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace gypsumhub {

/// A chosen target by index, and the lease of its slot if the router counts slots.
struct routed_choice {
    size_t target { 0 };
    /// Whether the target is in state `Trial`.
    bool trial { false };
    slot_lease lease;
};

/// Interface of the simulation that a router runs in.
class schedule_environment {
public:
    virtual ~schedule_environment() = default;
    virtual auto now() const -> time_point = 0;
    /// Runs `action` after `delay`.
    virtual auto after(duration delay, std::function<void()> action) -> void = 0;
    /// Starts a health check of a target by a node. The result is passed to `schedule_router::report`.
    virtual auto probe(size_t node, size_t target, time_point deadline) -> void = 0;
    /// Closes the idle connections from a node to a target.
    virtual auto closeIdleConnections(size_t node, size_t target) -> void = 0;
    /// A node stopped or resumed sending ordinary traffic to a target.
    virtual auto rotationChanged(size_t target) -> void = 0;
    /// A node ejected a target.
    virtual auto ejected(size_t node, size_t target) -> void = 0;
    /// A node has fewer targets in rotation than the floor requires because of ejections.
    virtual auto floorViolated(size_t node) -> void = 0;
};

/// The routing of all nodes that serve a service: that of the proxy, or a naive one for comparison.
class schedule_router {
public:
    virtual ~schedule_router() = default;
    /// Called once before the run. The environment must stay valid until the run ends.
    virtual auto start(schedule_environment&) -> void = 0;
    virtual auto choose(size_t node, std::span<const size_t> excluded, bool idempotent, bool mayBorrow) -> std::optional<routed_choice> = 0;
    /// Reports the result of an attempt or a health check.
    virtual auto report(size_t node, size_t target, attempt_report) -> void = 0;
    /// Called every `tickInterval`.
    virtual auto tick() -> void = 0;
    /// The platform's list removed a target or added it again.
    virtual auto listChanged(size_t target, bool live) -> void = 0;
    /// Whether the node sends ordinary traffic to the target.
    virtual auto routesTo(size_t node, size_t target) const -> bool = 0;
    /// When an unanswered attempt becomes overdue, or `never`.
    virtual auto overdueAt(size_t node, time_point sentAt) const -> time_point = 0;
    /// Number of slots that the node may use concurrently.
    virtual auto slots(size_t node) const -> uint32_t = 0;
};

} // namespace gypsumhub
