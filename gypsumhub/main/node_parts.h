#pragma once

#include "gypsumhub/config/node_settings.h"
#include "gypsumhub/core/rcu_cell.h"
#include "gypsumhub/fleet/peer_transport.h"
#include "gypsumhub/main/attempt_inbox.h"
#include "gypsumhub/main/claim_driver.h"
#include "gypsumhub/main/control_thread.h"
#include "gypsumhub/main/decision_driver.h"
#include "gypsumhub/main/fleet_driver.h"
#include "gypsumhub/main/probe_runner.h"
#include "gypsumhub/main/vm_list_poller.h"
#include "gypsumhub/operator/admin_server.h"
#include "gypsumhub/proxy/proxy_server.h"
#include "gypsumhub/store/etcd_store.h"

#include <atomic>
#include <memory>
#include <optional>

namespace gypsumhub {

/// The parts of one node and the wires between them. Pure logic lives on the control thread; see docs/ARCHITECTURE.md.
class node_parts final : private admin_view, private peer_listener, private peer_sender {
public:
    explicit node_parts(const node_settings&);
    ~node_parts() override;

    /// Starts everything; fails before anything is served.
    auto start() -> leaf::result<void>;
    /// Begins a planned stop; later calls change nothing. Control thread only.
    auto beginStop() -> void;
    /// Returns once a planned stop is complete.
    auto join() -> void;

    control_thread control;

private:
    auto makeEffects() -> decision_effects;
    auto makeFleetEffects() -> fleet_effects;
    auto wireTimers() -> void;
    auto drainAttempts() -> void;
    auto startOutsideWorld() -> void;
    auto applyConfiguration(std::shared_ptr<const configuration>) -> void;
    auto noteStateChange(const state_change_command&) -> void;

    // peer_listener, on the transport's thread.
    auto onPeerMessage(node_key sender, peer_message) -> void override;
    auto onPeerConnected(node_key peer) -> void override;
    // peer_sender for the drivers; drops messages until the transport runs.
    auto send(node_key receiver, peer_message) -> void override;

    // admin_view, on the admin server's thread.
    auto isReady() -> bool override;
    auto statusJson() -> std::string override;
    auto explain(std::string_view serviceOrVm) -> std::string override;
    auto metricsText() -> std::string override;

    node_settings m_settings;
    node_key m_self;
    time_point m_startedAt;
    rcu_cell<routing_snapshot> m_snapshot;
    attempt_inbox m_inbox;
    control_meter m_meter;
    etcd_store m_store;
    decision_driver m_decision;
    claim_driver m_claims;
    fleet_driver m_fleet;
    probe_runner m_probes;
    proxy_server m_proxy;
    admin_server m_admin;
    std::unique_ptr<peer_transport> m_transport;
    std::optional<vm_list_poller> m_listPoller;
    std::atomic<bool> m_stopping { false };
};

} // namespace gypsumhub
