#include "gypsumhub/fleet/fleet_node.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

fleet_node::fleet_node(const membership_settings& membershipSettings, const replicator_settings& spreaderSettings,
    configuration_source& source, peer_sender& sender, fleet_listener& listener)
    : m_source(source)
    , m_listener(listener)
    , m_membership(membershipSettings, sender, *this)
    , m_spreader(spreaderSettings, m_membership, source, sender, *this)
{
}

auto fleet_node::setNodes(std::span<const registered_node> nodes, time_point now) -> void
{
    m_membership.setNodes(nodes, now);
}

auto fleet_node::tick(time_point now) -> void
{
    // Membership first: it notices a pause before anything acts on old knowledge.
    m_membership.tick(now);
    m_spreader.tick(now);
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
        m_spreader.handle(sender, *digest, now);
    } else if (auto* request = std::get_if<revision_request_message>(&message))
        m_spreader.handle(sender, *request, now);
    else if (auto* part = std::get_if<revision_part_message>(&message))
        m_spreader.handle(sender, *part, now);
    else
        return false;
    return true;
}

auto fleet_node::handlePeerConnected(node_key peer) -> void
{
    // A node that has a configuration hears its peers anyway.
    if (m_source.current().number == 0)
        m_spreader.greet(peer);
}

auto fleet_node::announceRevision(time_point now) -> void
{
    m_spreader.announce(now);
}

auto fleet_node::isReady() const -> bool
{
    auto hasConfiguration = m_source.current().number != 0;
    // Alone there is nobody who could confirm the configuration.
    return m_membership.isReady() && (m_spreader.isReady() || (hasConfiguration && m_membership.isAlone()));
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
    m_spreader.notePause();
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
