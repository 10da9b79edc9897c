#include "gypsumhub/main/decision_driver.h"

#include "gypsumhub/core/clock.h"

#include <utility>

namespace gypsumhub {

decision_driver::decision_driver(const decision_settings& settings, rcu_cell<routing_snapshot>& cell, decision_effects effects)
    : m_core(settings)
    , m_cell(cell)
    , m_effects(std::move(effects))
{
}

auto decision_driver::handle(const decision_event& event) -> void
{
    m_core.handle(event, wallClockNow(), *this);
}

auto decision_driver::core() const -> const decision_core&
{
    return m_core;
}

auto decision_driver::stateChanges() const -> const std::array<uint64_t, 5>&
{
    return m_stateChanges;
}

auto decision_driver::onCommand(decision_command command) -> void
{
    std::visit([this](auto& concrete) { execute(concrete); }, command);
}

auto decision_driver::execute(const publish_snapshot_command& command) -> void
{
    m_cell.store(command.snapshot);
}

auto decision_driver::execute(const start_health_check_command& command) -> void
{
    m_effects.startHealthCheck(command);
}

auto decision_driver::execute(const send_evidence_command& command) -> void
{
    m_effects.sendEvidence(command);
}

auto decision_driver::execute(const close_idle_connections_command& command) -> void
{
    m_effects.closeIdleConnections(command.target);
}

auto decision_driver::execute(const state_change_command& command) -> void
{
    ++m_stateChanges[static_cast<size_t>(command.to)];
    m_effects.stateChanged(command);
}

} // namespace gypsumhub
