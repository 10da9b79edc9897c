#pragma once

#include "gypsumhub/core/rcu_cell.h"
#include "gypsumhub/fleet/evidence_sender.h"
#include "gypsumhub/fleet/fleet_metric.h"
#include "gypsumhub/fleet/fleet_node.h"
#include "gypsumhub/fleet/store_reader_thread.h"
#include "gypsumhub/fleet/verified_configuration.h"
#include "gypsumhub/main/control_thread.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace gypsumhub {

/// What a `fleet_driver` needs to know of its node.
struct fleet_driver_settings {
    membership_settings members;
    replicator_settings replicator;
    store_reader::settings reader;
};

/// What a `fleet_driver` tells the rest of the node, on the control thread.
struct fleet_effects {
    /// Events for the decision core.
    std::function<void(const decision_event&)> decide;
    /// This configuration is in force.
    std::function<void(std::shared_ptr<const configuration>)> configured;
};

/// Brings peers, store and steady clock to the pure objects of the fleet layer. Lives on the control thread; the store is
/// read on a thread of its own.
class fleet_driver final : private fleet_listener, private store_reader_host {
public:
    /// The references must outlive the driver.
    fleet_driver(const fleet_driver_settings&, control_thread&, store&, peer_sender&, fleet_effects);

    /// Begins to read the store when it is this node's turn.
    auto start() -> void;

    auto tick() -> void;
    auto announceShutdown() -> void;
    /// Takes a message; false when it is for the claims.
    auto onMessage(node_key sender, const peer_message&) -> bool;
    auto onContact(node_key peer) -> void;
    auto sendEvidence(const send_evidence_command&) -> void;

    /// Whether callers may be served; any thread may ask.
    auto isReady() const -> bool;
    /// Whether the last call to the store succeeded, or it was not this node's turn to read; any thread may ask.
    auto isStoreReachable() const -> bool;
    /// For metrics.
    auto figures() const -> std::vector<fleet_metric>;
    auto members() const -> const membership&;
    auto replicator() const -> const configuration_replicator&;
    auto config() const -> const verified_configuration&;
    /// Revisions from the store that were refused because their history differs from the one in force.
    auto refusedStoreRevisions() const -> uint64_t;

private:
    // fleet_listener
    auto onMembership(const membership_event&) -> void override;
    auto onPeerLost(const peer_lost_event&) -> void override;
    auto onRevisionAdopted(const revision_id&) -> void override;
    auto onRevisionRefused(result_code, const revision_id&, node_key peer) -> void override;

    // store_reader_host, on the reader's thread
    auto shouldReadStore() -> bool override;
    auto heldRevision() -> std::shared_ptr<const config_revision> override;
    auto onStoreRevision(std::shared_ptr<const config_revision>, const revision_id& held) -> void override;
    auto onStoreFault(const fault&) -> void override;

    auto adopt(const std::shared_ptr<const config_revision>&, const revision_id& held) -> void;
    auto takeConfiguration(const std::shared_ptr<const configuration>&) -> void;
    auto refreshFlags() -> void;

    control_thread& m_control;
    store& m_store;
    fleet_effects m_effects;
    store_reader::settings m_readerSettings;
    verified_configuration m_config;
    fleet_node m_node;
    evidence_sender m_evidence;
    rcu_cell<config_revision> m_held;
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_wantsStore { false };
    std::atomic<bool> m_storeReachable { true };
    std::atomic<uint64_t> m_refused { 0 };
    std::optional<store_reader_thread> m_reader;
};

} // namespace gypsumhub
