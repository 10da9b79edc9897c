#include "gypsumhub/fleet/fleet_node.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

fleet_node::fleet_node(const membership_settings& membershipSettings, const replicator_settings& replicatorSettings,
    configuration_source& source, peer_sender& sender, fleet_listener& listener)
    : m_source(source)
    , m_listener(listener)
    , m_membership(membershipSettings, sender, *this)
    , m_replicator(replicatorSettings, m_membership, source, sender, *this)
{
}

auto fleet_node::setNodes(std::span<const registered_node> nodes, time_point now) -> void
{
    m_membership.setNodes(nodes, now);
}

auto fleet_node::tick(time_point now) -> void
{
    // Membership first: it detects a pause before anything acts on stale state.
    m_membership.tick(now);
    m_replicator.tick(now);
}

auto fleet_node::handle(node_key sender, const peer_message& message, time_point now) -> bool
{
    if (auto* ping = std::get_if<ping_message>(&message))
        m_membership.handle(sender, *ping, now);
    else if (auto* ack = std::get_if<ping_ack_message>(&message))
        m_membership.handle(sender, *ack, now);
    else if (auto* claims = std::get_if<membership_message>(&message))
        m_membership.handle(sender, *claims, now);
    else if (auto* digest = std::get_if<digest_message>(&message)) {
        m_membership.handle(sender, *digest, now);
        m_replicator.handle(sender, *digest, now);
    } else if (auto* request = std::get_if<revision_request_message>(&message))
        m_replicator.handle(sender, *request, now);
    else if (auto* part = std::get_if<revision_part_message>(&message))
        m_replicator.handle(sender, *part, now);
    else
        return false;
    return true;
}

auto fleet_node::handlePeerConnected(node_key peer) -> void
{
    // A node with a configuration exchanges digests with its peers anyway.
    if (m_source.current().number == 0)
        m_replicator.queryRevision(peer);
}

auto fleet_node::announceRevision(time_point now) -> void
{
    m_replicator.announce(now);
}

auto fleet_node::isReady() const -> bool
{
    auto hasConfiguration = m_source.current().number != 0;
    // When this node is alone, no peer can confirm the configuration.
    return m_membership.isReady() && (m_replicator.isReady() || (hasConfiguration && m_membership.isAlone()));
}

auto fleet_node::onMembershipChange() -> void
{
    auto before = std::exchange(m_alive, m_membership.alive());
    if (before == m_alive)
        return;
    for (auto key : before) {
        if (!std::ranges::binary_search(m_alive, key))
            m_listener.onPeerLost({ key });
    }
    m_listener.onMembership({ m_alive });
}

auto fleet_node::onPause() -> void
{
    m_replicator.handlePause();
}

auto fleet_node::onPeerReplaced(node_key peer) -> void
{
    m_listener.onPeerLost({ peer });
}

auto fleet_node::onRevisionAdopted(const revision_id& revision) -> void
{
    m_listener.onRevisionAdopted(revision);
}

auto fleet_node::onRevisionRefused(result_code code, const revision_id& revision, node_key peer) -> void
{
    m_listener.onRevisionRefused(code, revision, peer);
}

} // namespace gypsumhub
