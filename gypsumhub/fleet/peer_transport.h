#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/fleet/control_meter.h"
#include "gypsumhub/fleet/peer_message.h"
#include "gypsumhub/fleet/peer_transport_settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace gypsumhub {

/// Carries typed messages between nodes by Cap'n Proto RPC over TCP, authenticated by shared keys. Runs its own thread;
/// `send` and the other functions may be called from any thread and do not block. Delivery is not guaranteed: queues are
/// bounded, and a message that cannot be sent within a few seconds is dropped.
class peer_transport final : public peer_sender {
public:
    /// Starts the thread and listens. The listener is called on that thread and must not block. Fails with
    /// `SettingsInvalid` or `AddressInUse`.
    static auto start(const peer_transport_settings&, peer_listener&, control_meter&) -> leaf::result<std::unique_ptr<peer_transport>>;

    /// Closes all connections and joins the thread.
    ~peer_transport() override;
    peer_transport(const peer_transport&) = delete;
    auto operator=(const peer_transport&) -> peer_transport& = delete;

    auto send(node_key receiver, peer_message) -> void override;

    /// Replaces the peer addresses. While there are none, every holder of a key is accepted as a peer; afterwards only these.
    auto setPeers(std::map<node_key, peer_address>) -> void;

    /// Opens connections to endpoints whose node keys are not known, unless they are open; `peer_listener::onPeerConnected`
    /// reports the node that answered. Must be called every few seconds while there is no configuration.
    auto connectToSeeds(std::vector<endpoint>) -> void;

    auto counts() const -> peer_transport_counts;

    /// The port on which this node listens.
    auto listenPort() const -> uint16_t;

private:
    /// The thread and the state that it shares with this object.
    struct thread_state;

    explicit peer_transport(std::unique_ptr<thread_state>);

    std::unique_ptr<thread_state> m_state;
};

} // namespace gypsumhub
