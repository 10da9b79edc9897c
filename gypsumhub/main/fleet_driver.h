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

/// Settings of the objects that a `fleet_driver` owns.
struct fleet_driver_settings {
    membership_settings members;
    replicator_settings replicator;
    store_reader::settings reader;
};

/// Callbacks of a `fleet_driver` to the rest of the node. All are called on the control thread.
struct fleet_effects {
    /// Passes an event to the decision core.
    std::function<void(const decision_event&)> decide;
    /// Applies a configuration that is now in force.
    std::function<void(std::shared_ptr<const configuration>)> configured;
};

/// Connects the fleet layer's objects with peers, the store and the steady clock. Used on the control thread, except where
/// noted; a separate thread reads the store.
class fleet_driver final : private fleet_listener, private store_reader_host {
public:
    /// The references must outlive the driver.
    fleet_driver(const fleet_driver_settings&, control_thread&, store&, peer_sender&, fleet_effects);

    /// Starts the thread that reads the store while this node is a designated reader.
    auto start() -> void;

    /// Advances the timers of the fleet logic; called every `tickInterval`.
    auto tick() -> void;
    /// Notifies the peers that this node is shutting down.
    auto announceShutdown() -> void;
    /// Handles a message from a peer; false if it is a claim message, which the caller must handle.
    auto onMessage(node_key sender, const peer_message&) -> bool;
    /// Handles a new authenticated connection with a peer.
    auto handlePeerConnected(node_key peer) -> void;
    /// Queues evidence about targets for the peers.
    auto sendEvidence(const send_evidence_command&) -> void;

    /// Whether callers may be served. Any thread may call it.
    auto isReady() const -> bool;
    /// False after a failed call to the store, until the next successful one. Stays true on a node that is never a designated
    /// reader. Any thread may call it.
    auto isStoreReachable() const -> bool;
    /// Returns the values of the fleet metrics.
    auto metrics() const -> std::vector<fleet_metric>;
    auto members() const -> const membership&;
    auto replicator() const -> const configuration_replicator&;
    auto config() const -> const verified_configuration&;
    /// Returns the number of revisions from the store that were refused because their history conflicts with the revision in
    /// force. Any thread may call it.
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
    auto onConfigurationChanged(const std::shared_ptr<const configuration>&) -> void;
    auto refreshFlags() -> void;

    control_thread& m_control;
    store& m_store;
    fleet_effects m_effects;
    store_reader::settings m_readerSettings;
    verified_configuration m_config;
    fleet_node m_node;
    evidence_sender m_evidence;
    rcu_cell<config_revision> m_currentRevision;
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_shouldReadStore { false };
    std::atomic<bool> m_storeReachable { true };
    std::atomic<uint64_t> m_refused { 0 };
    std::optional<store_reader_thread> m_reader;
};

} // namespace gypsumhub
