#pragma once

#include "fakes/schedule_router.h"
#include "gypsumhub/decision/decision_core.h"

#include <memory>
#include <vector>

namespace gypsumhub {

/// The routing of the proxy: a decision core per node, evidence exchanged between the nodes, and the target chooser.
class schedule_core_router final : public schedule_router {
public:
    explicit schedule_core_router(const schedule&);
    ~schedule_core_router() override;

    auto start(schedule_environment&) -> void override;
    auto choose(size_t node, std::span<const size_t> excluded, bool idempotent, bool mayBorrow) -> std::optional<routed_choice> override;
    auto report(size_t node, size_t target, attempt_report) -> void override;
    auto tick() -> void override;
    auto listChanged(size_t target, bool live) -> void override;
    auto routesTo(size_t node, size_t target) const -> bool override;
    auto overdueAt(size_t node, time_point sentAt) const -> time_point override;
    auto slots(size_t node) const -> uint32_t override;

    /// One node's decision core, for tests.
    auto core(size_t node) const -> const decision_core&;

private:
    class node_driver;

    auto handle(size_t node, const decision_event&) -> void;
    auto indexOf(vm_key) const -> size_t;
    auto nodeOf(node_key) const -> size_t;

    schedule m_plan;
    std::shared_ptr<const configuration> m_config;
    service_key m_service;
    // Key of each target by index, and the indices sorted by key.
    std::vector<vm_key> m_keys;
    std::vector<std::pair<vm_key, size_t>> m_indices;
    std::vector<node_key> m_nodeKeys;
    // VMs in the platform's list, sorted by key.
    std::vector<vm_key> m_listed;
    std::vector<std::unique_ptr<node_driver>> m_nodes;
    random_generator m_random;
    schedule_environment* m_environment { nullptr };
};

} // namespace gypsumhub
