#pragma once

#include "fakes/schedule.h"
#include "gypsumhub/decision/attempt_report.h"
#include "gypsumhub/decision/request/slot_lease.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace gypsumhub {

/// A modelled choice: a target by index and the slot held there, if the router counts slots.
struct routed_choice {
    size_t target { 0 };
    bool trial { false };
    slot_lease lease;
};

/// What a router needs of the model around it.
class schedule_environment {
public:
    virtual ~schedule_environment() = default;
    virtual auto now() const -> time_point = 0;
    /// Runs `action` after `delay`.
    virtual auto after(duration delay, std::function<void()> action) -> void = 0;
    /// Sends a probe from a node to a target; it comes back by `report`.
    virtual auto probe(size_t node, size_t target, time_point deadline) -> void = 0;
    /// Closes the idle connections from a node to a target.
    virtual auto closeIdleConnections(size_t node, size_t target) -> void = 0;
    /// A node stopped or resumed giving ordinary work to a target.
    virtual auto rotationChanged(size_t target) -> void = 0;
    /// A node ejected a target.
    virtual auto ejected(size_t node, size_t target) -> void = 0;
    /// A node has fewer targets in rotation than the floor allows, some of them ejected.
    virtual auto floorViolated(size_t node) -> void = 0;
};

/// The routing of a whole group of nodes: the product's, or the naive one that it is compared with.
class schedule_router {
public:
    virtual ~schedule_router() = default;
    virtual auto start(schedule_environment&) -> void = 0;
    virtual auto choose(size_t node, std::span<const size_t> excluded, bool idempotent, bool mayBorrow) -> std::optional<routed_choice> = 0;
    virtual auto report(size_t node, size_t target, attempt_report) -> void = 0;
    virtual auto tick() -> void = 0;
    /// The platform's list drops a target or shows it again.
    virtual auto listChanged(size_t target, bool live) -> void = 0;
    /// Whether the node gives the target ordinary work.
    virtual auto routesTo(size_t node, size_t target) const -> bool = 0;
    /// When an unanswered attempt counts as overdue, or `never`.
    virtual auto overdueAt(size_t node, time_point sentAt) const -> time_point = 0;
    /// Slots that the node may use at once.
    virtual auto slots(size_t node) const -> uint32_t = 0;
};

} // namespace gypsumhub
