#include "gypsumhub/main/membership_driver.h"

#include "gypsumhub/core/clock.h"

#include <utility>

namespace gypsumhub {

membership_driver::membership_driver(const membership_settings& settings, peer_sender& sender, membership_effects effects)
    : m_membership(settings, sender, *this)
    , m_effects(std::move(effects))
{
}

auto membership_driver::configure(const configuration& config) -> void
{
    m_membership.setNodes(registeredNodes(config), steadyNow());
    onMembershipChange();
}

auto membership_driver::tick() -> void
{
    m_membership.tick(steadyNow());
}

auto membership_driver::announceStop() -> void
{
    m_membership.announceStop(steadyNow());
}

auto membership_driver::isReady() const -> bool
{
    return m_ready.load(std::memory_order_relaxed);
}

auto membership_driver::state() const -> const membership&
{
    return m_membership;
}

auto membership_driver::steadyNow() -> time_point
{
    return steadyClockNow();
}

auto membership_driver::onMembershipChange() -> void
{
    m_ready.store(m_membership.isReady(), std::memory_order_relaxed);
    m_effects.aliveChanged(m_membership.alive());
}

auto membership_driver::onPeerReplaced(node_key peer) -> void
{
    m_effects.peerReplaced(peer);
}

} // namespace gypsumhub
