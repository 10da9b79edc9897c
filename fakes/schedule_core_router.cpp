#include "fakes/schedule_core_router.h"

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/request/target_chooser.h"

#include <algorithm>

namespace gypsumhub {

/// Runs the decision core of one node and executes its commands in the model.
class schedule_core_router::node_driver final : public command_listener {
public:
    node_driver(schedule_core_router& router, size_t node, const decision_settings& settings)
        : m_router(router)
        , m_node(node)
        , m_core(settings)
        , m_routesTo(router.m_plan.targets, false)
    {
    }

    auto handle(const decision_event& event) -> void { m_core.handle(event, m_router.m_environment->now(), *this); }

    auto onCommand(decision_command command) -> void override
    {
        std::visit([&](auto& typed) { on(typed); }, command);
    }

    auto view() const -> const service_view* { return m_view; }
    auto core() const -> const decision_core& { return m_core; }
    auto routesTo(size_t target) const -> bool { return m_routesTo[target]; }

private:
    auto on(const publish_snapshot_command& command) -> void
    {
        m_snapshot = command.snapshot;
        m_view = m_snapshot->findService(m_router.m_service);
        auto next = std::vector<bool>(m_routesTo.size(), false);
        for (auto& target : m_view->targets) {
            auto ordinary = target.state != health_state::Trial && target.weight > floorWeight;
            next[m_router.indexOf(target.key)] = ordinary && target.slotShare > 0;
        }
        std::swap(next, m_routesTo);
        for (auto target = size_t { 0 }; target < next.size(); ++target) {
            if (next[target] != m_routesTo[target])
                m_router.m_environment->rotationChanged(target);
        }
        checkFloor();
    }

    auto checkFloor() -> void
    {
        auto& record = *m_core.board().findService(m_router.m_service);
        auto ejected = std::ranges::count(record.targets, health_state::Ejected, &target_record::state);
        if (ejected > 0 && m_view->targets.size() < record.floorCount())
            m_router.m_environment->floorViolated(m_node);
    }

    auto on(const start_probe_command& command) -> void
    {
        m_router.m_environment->probe(m_node, m_router.indexOf(command.target), command.deadline);
    }

    auto on(const send_evidence_command& command) -> void
    {
        auto sender = m_router.m_nodeKeys[m_node];
        for (auto receiver : command.receivers) {
            auto other = m_router.nodeOf(receiver);
            auto delay = delayBetween(m_router.m_plan.deployment, dataCentreOf(m_node), dataCentreOf(other));
            auto* router = &m_router;
            auto event = std::make_shared<decision_event>(evidence_event { sender, command.items });
            m_router.m_environment->after(delay, [router, other, event] { router->handle(other, *event); });
        }
    }

    auto on(const close_idle_connections_command& command) -> void
    {
        m_router.m_environment->closeIdleConnections(m_node, m_router.indexOf(command.target));
    }

    auto on(const state_change_command& command) -> void
    {
        if (command.to == health_state::Ejected)
            m_router.m_environment->ejected(m_node, m_router.indexOf(command.target));
    }

    // Weight of a faulty target that the floor keeps in rotation. A target with a higher weight receives ordinary traffic.
    static constexpr auto floorWeight = uint16_t { 100 };

    schedule_core_router& m_router;
    size_t m_node;
    decision_core m_core;
    std::shared_ptr<const routing_snapshot> m_snapshot;
    const service_view* m_view { nullptr };
    std::vector<bool> m_routesTo;
};

schedule_core_router::schedule_core_router(const schedule& plan)
    : m_plan(plan)
    , m_config(makeConfiguration(plan))
    , m_random(plan.seed)
{
    auto& service = *m_config->services.begin()->second;
    m_service = service.key;
    for (auto& target : service.targets) {
        m_indices.emplace_back(target.key, m_keys.size());
        m_keys.push_back(target.key);
    }
    std::ranges::sort(m_indices);
    for (auto& [name, node] : m_config->nodes)
        m_nodeKeys.push_back(node.key);
}

schedule_core_router::~schedule_core_router() = default;

auto schedule_core_router::start(schedule_environment& environment) -> void
{
    m_environment = &environment;
    auto membership = membership_event { m_nodeKeys };
    std::ranges::sort(membership.alive);
    m_listed = m_keys;
    std::ranges::sort(m_listed);
    auto list = vm_list_event { m_listed, {} };
    auto node = size_t { 0 };
    for (auto& [name, spec] : m_config->nodes) {
        auto settings = decision_settings { spec.key, spec.dataCentre, m_random(), static_cast<uint32_t>(m_plan.membersPerDataCentre) };
        m_nodes.push_back(std::make_unique<node_driver>(*this, node++, settings));
    }
    for (auto index = size_t { 0 }; index < m_nodes.size(); ++index) {
        handle(index, membership);
        handle(index, configuration_event { m_config });
        handle(index, list);
    }
}

auto schedule_core_router::choose(size_t node, std::span<const size_t> excluded, bool idempotent, bool mayBorrow) -> std::optional<routed_choice>
{
    auto keys = std::array<vm_key, 8> {};
    auto count = std::min(excluded.size(), keys.size());
    for (auto index = size_t { 0 }; index < count; ++index)
        keys[index] = m_keys[excluded[index]];
    auto chosen = chooseTarget(*m_nodes[node]->view(), { std::span(keys).first(count), idempotent, m_random(), mayBorrow });
    if (!chosen)
        return std::nullopt;
    return routed_choice { indexOf(chosen->key), chosen->trial, std::move(chosen->lease) };
}

auto schedule_core_router::report(size_t node, size_t target, attempt_report report) -> void
{
    report.service = m_service;
    report.target = m_keys[target];
    handle(node, attempt_event { report });
}

auto schedule_core_router::tick() -> void
{
    for (auto node = size_t { 0 }; node < m_nodes.size(); ++node)
        handle(node, tick_event {});
}

auto schedule_core_router::listChanged(size_t target, bool live) -> void
{
    std::erase(m_listed, m_keys[target]);
    if (live)
        m_listed.push_back(m_keys[target]);
    std::ranges::sort(m_listed);
    for (auto node = size_t { 0 }; node < m_nodes.size(); ++node)
        handle(node, vm_list_event { m_listed, {} });
}

auto schedule_core_router::routesTo(size_t node, size_t target) const -> bool
{
    return m_nodes[node]->routesTo(target);
}

auto schedule_core_router::overdueAt(size_t node, time_point sentAt) const -> time_point
{
    return sentAt + m_nodes[node]->view()->overdueAfter;
}

auto schedule_core_router::slots(size_t node) const -> uint32_t
{
    return totalSlots(*m_nodes[node]->view());
}

auto schedule_core_router::core(size_t node) const -> const decision_core&
{
    return m_nodes[node]->core();
}

auto schedule_core_router::handle(size_t node, const decision_event& event) -> void
{
    m_nodes[node]->handle(event);
}

auto schedule_core_router::indexOf(vm_key key) const -> size_t
{
    return std::ranges::lower_bound(m_indices, key, {}, &std::pair<vm_key, size_t>::first)->second;
}

auto schedule_core_router::nodeOf(node_key key) const -> size_t
{
    return static_cast<size_t>(std::ranges::find(m_nodeKeys, key) - m_nodeKeys.begin());
}

} // namespace gypsumhub
