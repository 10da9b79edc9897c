#pragma once

#include "gypsumhub/decision/event.h"
#include "gypsumhub/fleet/configuration_replicator.h"
#include "gypsumhub/fleet/membership.h"

#include <span>

namespace gypsumhub {

/// Hears what `fleet_node` finds. Called from within its functions.
class fleet_listener {
public:
    virtual ~fleet_listener() = default;
    /// For the decision core: the nodes that work may be given to.
    virtual auto onMembership(const membership_event&) -> void = 0;
    /// For the decision core: the peer was replaced or died; what it said no longer counts.
    virtual auto onPeerLost(const peer_lost_event&) -> void = 0;
    /// A revision from a peer was verified and is in force in the `configuration_source`.
    virtual auto onRevisionAdopted(const revision_id&) -> void = 0;
    /// A peer holds a history that does not continue ours; operators must know.
    virtual auto onRevisionRefused(result_code, const revision_id&, node_key peer) -> void = 0;
};

/// What one node knows of the others: membership and configuration together. Pure and single-threaded; time is an argument
/// from a clock that never goes back (`steadyClockNow`), messages go to a `peer_sender`.
class fleet_node final : private membership_listener, private spreader_listener {
public:
    /// The references must outlive the node.
    fleet_node(const membership_settings&, const replicator_settings&, configuration_source&, peer_sender&, fleet_listener&);

    /// Takes the nodes of the configuration in force.
    auto setNodes(std::span<const registered_node>, time_point now) -> void;

    /// To be called at least every 200 ms.
    auto tick(time_point now) -> void;

    /// Takes a message; false when it is not for this layer but for the decision core or the claims.
    auto handle(node_key sender, const peer_message&, time_point now) -> bool;

    /// A connection with this peer was authenticated.
    auto handlePeerConnected(node_key peer) -> void;

    /// The source took a revision from the store.
    auto announceRevision(time_point now) -> void;

    /// The store's head was read and is no later than the revision in force.
    auto confirmRevision() -> void { m_spreader.confirm(); }

    /// Tells the others that this node is stopping. It answers them until the end of the process.
    auto announceShutdown(time_point now) -> void { m_membership.announceShutdown(now); }

    /// Whether callers may be served: membership and configuration are known and not old.
    auto isReady() const -> bool;

    /// Whether this node should watch the store now.
    auto shouldReadStore(time_point now) const -> bool { return m_spreader.shouldReadStore(now); }

    auto members() const -> const membership& { return m_membership; }
    auto replicator() const -> const configuration_replicator& { return m_spreader; }

private:
    auto onMembershipChange() -> void override;
    auto onPause() -> void override;
    auto onPeerReplaced(node_key) -> void override;
    auto onRevisionAdopted(const revision_id&) -> void override;
    auto onRevisionRefused(result_code, const revision_id&, node_key peer) -> void override;

    configuration_source& m_source;
    fleet_listener& m_listener;
    membership m_membership;
    configuration_replicator m_spreader;
    /// What the listener was told last, in order of key.
    std::vector<node_key> m_alive;
};

} // namespace gypsumhub
