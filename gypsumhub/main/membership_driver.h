#pragma once

#include "gypsumhub/fleet/membership.h"
#include "gypsumhub/fleet/registered_node.h"

#include <atomic>
#include <functional>

namespace gypsumhub {

/// What a `membership_driver` tells the rest of the node, on the control thread.
struct membership_effects {
    /// The nodes that work may be given to changed.
    std::function<void(std::vector<node_key>)> aliveChanged;
    /// What the peer said earlier no longer counts.
    std::function<void(node_key)> peerReplaced;
};

/// Drives `membership` with the steady clock. Lives on the control thread.
class membership_driver final : private membership_listener {
public:
    membership_driver(const membership_settings&, peer_sender&, membership_effects);

    /// A configuration is in force.
    auto configure(const configuration&) -> void;
    auto tick() -> void;
    auto announceStop() -> void;

    /// Hands a message to the membership.
    template <typename Message>
        requires requires(membership& target, const Message& message) { target.handle(node_key {}, message, time_point {}); }
    auto onMessage(node_key sender, const Message& message) -> void
    {
        m_membership.handle(sender, message, steadyNow());
    }

    /// Whether the node hears from its peers; any thread may ask.
    auto isReady() const -> bool;
    auto state() const -> const membership&;

private:
    static auto steadyNow() -> time_point;
    auto onMembershipChange() -> void override;
    auto onPeerReplaced(node_key) -> void override;

    membership m_membership;
    membership_effects m_effects;
    std::atomic<bool> m_ready { false };
};

} // namespace gypsumhub
