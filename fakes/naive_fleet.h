#pragma once

#include "fakes/schedule_router.h"

#include <vector>

namespace gypsumhub {

/// A simple load balancer for comparison: round robin on each node, ejection for 30 s after five consecutive errors, no floor on
/// the targets in rotation, no evidence shared between nodes.
class naive_fleet final : public schedule_router {
public:
    explicit naive_fleet(const schedule&);

    auto start(schedule_environment&) -> void override;
    auto choose(size_t node, std::span<const size_t> excluded, bool idempotent, bool mayBorrow) -> std::optional<routed_choice> override;
    auto report(size_t node, size_t target, attempt_report) -> void override;
    auto tick() -> void override;
    auto listChanged(size_t target, bool live) -> void override;
    auto routesTo(size_t node, size_t target) const -> bool override;
    auto overdueAt(size_t node, time_point sentAt) const -> time_point override;
    auto slots(size_t node) const -> uint32_t override;

private:
    /// Ejection state of one target at one node.
    struct target_entry {
        uint32_t consecutiveErrors { 0 };
        time_point ejectedUntil;
    };
    /// Round-robin position and targets of one node.
    struct node_entry {
        size_t next { 0 };
        std::vector<target_entry> targets;
    };

    auto inRotation(size_t node) const -> size_t;

    schedule m_plan;
    std::vector<node_entry> m_nodes;
    schedule_environment* m_environment { nullptr };
};

} // namespace gypsumhub
