#pragma once

#include "gypsumhub/decision/event.h"
#include "gypsumhub/fleet/configuration_replicator.h"
#include "gypsumhub/fleet/membership.h"

#include <span>

namespace gypsumhub {

/// Receives the events of `fleet_node`. Called from within its functions.
class fleet_listener {
public:
    virtual ~fleet_listener() = default;
    /// For the decision core: the nodes that requests may be assigned to.
    virtual auto onMembership(const membership_event&) -> void = 0;
    /// For the decision core: the peer was replaced or is no longer alive; its earlier evidence no longer counts.
    virtual auto onPeerLost(const peer_lost_event&) -> void = 0;
    /// A revision from a peer was verified and is in force in the `configuration_source`.
    virtual auto onRevisionAdopted(const revision_id&) -> void = 0;
    /// A revision of a peer was refused, for example because it does not continue this node's history; operators must be notified.
    virtual auto onRevisionRefused(result_code, const revision_id&, node_key peer) -> void = 0;
};

/// Membership and configuration replication of one node. Pure and single-threaded; time is an argument from a monotonic clock
/// (`steadyClockNow`), messages go to a `peer_sender`.
class fleet_node final : private membership_listener, private replicator_listener {
public:
    /// The references must outlive the node.
    fleet_node(const membership_settings&, const replicator_settings&, configuration_source&, peer_sender&, fleet_listener&);

    /// Replaces the registered nodes by those of the configuration in force.
    auto setNodes(std::span<const registered_node>, time_point now) -> void;

    /// Runs timers; must be called at least every 200 ms.
    auto tick(time_point now) -> void;

    /// Handles a message. Returns false when it is for another layer: evidence or idempotency claims.
    auto handle(node_key sender, const peer_message&, time_point now) -> bool;

    /// A connection with this peer was authenticated.
    auto handlePeerConnected(node_key peer) -> void;

    /// A revision from the store was put in force: sends its digest to the contacts.
    auto announceRevision(time_point now) -> void;

    /// The store's head was read and is no later than the revision in force.
    auto confirmRevision() -> void { m_replicator.confirm(); }

    /// Announces the shutdown of this node. It continues to answer peers until the process ends.
    auto announceShutdown(time_point now) -> void { m_membership.announceShutdown(now); }

    /// Whether callers may be served: membership and configuration are known and not stale.
    auto isReady() const -> bool;

    /// Whether this node should read the store now.
    auto shouldReadStore(time_point now) const -> bool { return m_replicator.shouldReadStore(now); }

    auto members() const -> const membership& { return m_membership; }
    auto replicator() const -> const configuration_replicator& { return m_replicator; }

private:
    auto onMembershipChange() -> void override;
    auto onPause() -> void override;
    auto onPeerReplaced(node_key) -> void override;
    auto onRevisionAdopted(const revision_id&) -> void override;
    auto onRevisionRefused(result_code, const revision_id&, node_key peer) -> void override;

    configuration_source& m_source;
    fleet_listener& m_listener;
    membership m_membership;
    configuration_replicator m_replicator;
    /// The alive nodes last reported to the listener, in order of key.
    std::vector<node_key> m_alive;
};

} // namespace gypsumhub
