#pragma once

#include "gypsumhub/core/rcu_cell.h"
#include "gypsumhub/decision/decision_core.h"

#include <array>
#include <cstdint>
#include <functional>

namespace gypsumhub {

/// Callbacks that execute the decision core's commands. All are called on the control thread.
struct decision_effects {
    std::function<void(const start_health_check_command&)> startHealthCheck;
    std::function<void(const send_evidence_command&)> sendEvidence;
    std::function<void(vm_key)> closeIdleConnections;
    std::function<void(const state_change_command&)> stateChanged;
};

/// Passes events and wall-clock time to a `decision_core` and executes its commands. Used only on the control thread.
class decision_driver final : private command_listener {
public:
    /// Publishes snapshots to `cell`, which must outlive the driver.
    decision_driver(const decision_settings&, rcu_cell<routing_snapshot>& cell, decision_effects);

    /// Passes one event to the core at the current time.
    auto handle(const decision_event&) -> void;

    /// Returns the core, for `explain` and status.
    auto core() const -> const decision_core&;

    /// Returns the number of state changes so far, indexed by the new `health_state`.
    auto stateChanges() const -> const std::array<uint64_t, 5>&;

private:
    auto onCommand(decision_command) -> void override;
    auto execute(const publish_snapshot_command&) -> void;
    auto execute(const start_health_check_command&) -> void;
    auto execute(const send_evidence_command&) -> void;
    auto execute(const close_idle_connections_command&) -> void;
    auto execute(const state_change_command&) -> void;

    decision_core m_core;
    rcu_cell<routing_snapshot>& m_cell;
    decision_effects m_effects;
    std::array<uint64_t, 5> m_stateChanges {};
};

} // namespace gypsumhub
