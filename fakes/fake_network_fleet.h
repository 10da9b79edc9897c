#pragma once

#include "fakes/fake_network.h"
#include "fakes/fake_network_source.h"
#include "gypsumhub/fleet/fleet_node.h"

#include <map>
#include <memory>
#include <vector>

namespace gypsumhub {

class fake_network_fleet;

/// One `fleet_node` on a fake network. It reads the configuration store that `fake_network_fleet` models.
class fake_fleet_node final : public fake_network_node, public fleet_listener {
public:
    fake_fleet_node(fake_network_fleet&, const membership_settings&, const replicator_settings&, const revision_id& first);
    ~fake_fleet_node() override;

    auto onTick(time_point now) -> void override;
    auto onMessage(node_key sender, peer_message, time_point now) -> void override;
    auto onMembership(const membership_event& event) -> void override { alive = event.alive; }
    auto onPeerLost(const peer_lost_event&) -> void override { }
    auto onRevisionAdopted(const revision_id&) -> void override;
    auto onRevisionRefused(result_code code, const revision_id&, node_key) -> void override { refusals.push_back(code); }

    fake_network_source source;
    fleet_node node;
    std::vector<node_key> alive;
    std::vector<result_code> refusals;
    /// When the current revision was adopted.
    time_point adoptedAt {};

private:
    auto readStore(time_point now) -> void;
    auto updateNodes(time_point now) -> void;

    fake_network_fleet& m_fleet;
    node_key m_key;
    time_point m_watchUntil {};
    bool m_hasNodes { false };
};

/// A fleet of `fleet_node`s with `perDataCentre` nodes in each data centre. The first half of the data centres, rounded up, is one
/// region and the rest is another.
class fake_network_fleet {
public:
    /// Size of the fleet, loss rate and settings of its nodes.
    struct settings {
        uint16_t dataCentres { 4 };
        uint16_t perDataCentre { 10 };
        uint64_t seed { 1 };
        double loss { 0 };
        membership_settings membership {};
        replicator_settings replicator {};
        /// Whether nodes start with the first revision or without a configuration.
        bool startsConfigured { true };
    };

    explicit fake_network_fleet(const settings&);
    ~fake_network_fleet();

    auto start(node_key, uint64_t incarnation, const revision_id& first) -> void;
    auto kill(node_key key) -> void { ends[key].reset(); }

    /// Adds a child of the store's head revision and makes it the new head.
    auto publish() -> revision_id;

    /// Number of running nodes whose current revision is this one.
    auto countNodesAt(const revision_id&) const -> std::size_t;
    /// Runs until all running nodes have the revision. Returns when the last one adopted it, or `never` if `limit` is reached first.
    auto runUntilAllAt(const revision_id&, time_point limit) -> time_point;

    auto distance(node_key, node_key) const -> peer_distance;
    /// One-way delays of 0.2 ms, 1.5 ms and 12 ms by distance, and the loss rate of the settings.
    auto defaultLinks() -> std::function<fake_network::link_quality(node_key, node_key)>;

    fake_network network;
    fake_history history;
    /// All nodes of the fleet, running or not.
    std::vector<registered_node> nodes;
    /// The revision that nodes start with.
    revision_id firstRevision;
    revision_id storeHead;
    bool storeAvailable { true };
    uint64_t storeCalls { 0 };
    /// Running nodes by key; null after `kill`.
    std::map<node_key, std::unique_ptr<fake_fleet_node>> ends;

private:
    settings m_settings;
};

} // namespace gypsumhub
