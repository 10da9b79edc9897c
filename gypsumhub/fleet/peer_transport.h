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
/// `send` and the other functions may be called from any thread and do not block. Delivery is not certain: queues are
/// bounded and a message that cannot be sent within a few seconds is dropped.
class peer_transport final : public peer_sender {
public:
    /// Listens and starts the thread. The listener is called on that thread and must not block. Fails with
    /// `SettingsInvalid` or `AddressInUse`.
    static auto start(const peer_transport_settings&, peer_listener&, control_meter&) -> leaf::result<std::unique_ptr<peer_transport>>;

    /// Closes all connections and joins the thread.
    ~peer_transport() override;
    peer_transport(const peer_transport&) = delete;
    auto operator=(const peer_transport&) -> peer_transport& = delete;

    auto send(node_key receiver, peer_message) -> void override;

    /// Replaces the address book. While it is empty every holder of a key may speak; afterwards only the nodes named.
    auto setPeers(std::map<node_key, peer_address>) -> void;

    /// Opens connections to nodes whose names are not known, unless they are open; `peer_listener::onPeerConnected` tells who
    /// answered. To be called every few seconds while there is no configuration.
    auto connectToSeeds(std::vector<endpoint>) -> void;

    auto counts() const -> peer_transport_counts;

    /// Where this node listens.
    auto listenPort() const -> uint16_t;

private:
    struct running;

    explicit peer_transport(std::unique_ptr<running>);

    std::unique_ptr<running> m_running;
};

} // namespace gypsumhub
