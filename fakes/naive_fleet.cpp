#include "fakes/naive_fleet.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto errorsToEject = 5U;
    constexpr auto ejectionTime = seconds(30);

} // namespace

naive_fleet::naive_fleet(const schedule& plan)
    : m_plan(plan)
{
    m_nodes.resize(nodesPerDataCentre(plan) * 4);
    for (auto index = size_t { 0 }; index < m_nodes.size(); ++index) {
        m_nodes[index].next = index;
        m_nodes[index].targets.resize(plan.targets);
    }
}

auto naive_fleet::start(schedule_environment& environment) -> void
{
    m_environment = &environment;
}

auto naive_fleet::choose(size_t node, std::span<const size_t> excluded, bool, bool) -> std::optional<routed_choice>
{
    auto& entry = m_nodes[node];
    for (auto step = size_t { 0 }; step < m_plan.targets; ++step) {
        auto target = entry.next++ % m_plan.targets;
        if (routesTo(node, target) && std::ranges::find(excluded, target) == excluded.end())
            return routed_choice { target, false, {} };
    }
    return std::nullopt;
}

auto naive_fleet::report(size_t node, size_t target, attempt_report report) -> void
{
    auto& entry = m_nodes[node].targets[target];
    if (report.result == attempt_result::Overdue || report.result == attempt_result::Cancelled)
        return;
    if (report.result == attempt_result::Success) {
        entry.consecutiveErrors = 0;
        return;
    }
    if (++entry.consecutiveErrors < errorsToEject || !routesTo(node, target))
        return;
    entry.consecutiveErrors = 0;
    entry.ejectedUntil = m_environment->now() + ejectionTime;
    m_environment->ejected(node, target);
    m_environment->rotationChanged(target);
    if (inRotation(node) * 100 < m_plan.targets * m_plan.floorPercent)
        m_environment->floorViolated(node);
}

auto naive_fleet::tick() -> void
{
}

auto naive_fleet::listChanged(size_t, bool) -> void
{
}

auto naive_fleet::routesTo(size_t node, size_t target) const -> bool
{
    return m_nodes[node].targets[target].ejectedUntil <= m_environment->now();
}

auto naive_fleet::overdueAt(size_t, time_point) const -> time_point
{
    return never;
}

auto naive_fleet::slots(size_t) const -> uint32_t
{
    return 0;
}

auto naive_fleet::inRotation(size_t node) const -> size_t
{
    auto count = size_t { 0 };
    for (auto target = size_t { 0 }; target < m_plan.targets; ++target)
        count += routesTo(node, target) ? 1 : 0;
    return count;
}

} // namespace gypsumhub
