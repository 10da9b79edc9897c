#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/fleet/peer_connection.h"
#include "gypsumhub/fleet/peer_queue.h"
#include "gypsumhub/fleet/peer_transport_settings.h"
#include "gypsumhub/fleet/transport_inbox.h"

#include <atomic>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <map>
#include <memory>
#include <vector>

namespace gypsumhub {

/// The live counters behind `peer_transport_counts`; any thread may read them.
struct transport_counters {
    std::atomic<uint64_t> framesSent { 0 };
    std::atomic<uint64_t> messagesReceived { 0 };
    std::atomic<uint64_t> connectionsOpened { 0 };
    std::atomic<uint64_t> connectionsFailed { 0 };
    std::atomic<uint64_t> messagesDropped { 0 };
    std::atomic<uint64_t> refusedUnauthenticated { 0 };
    std::atomic<uint64_t> refusedInvalid { 0 };
    std::atomic<uint64_t> refusedReplayed { 0 };
};

/// State that the transport's thread shares with its owner.
struct transport_context {
    peer_transport_settings settings;
    frame_seal seal;
    peer_listener& listener;
    control_meter& meter;
    transport_inbox inbox {};
    transport_counters counters {};
};

/// The event loop of `peer_transport` on its thread: listens, dials with backoff, owns connections and queues.
class transport_loop final : private connection_host, private kj::TaskSet::ErrorHandler {
public:
    transport_loop(transport_context&, kj::AsyncIoContext&);
    ~transport_loop() noexcept override;

    /// Starts to listen and returns the port; throws `kj::Exception` when the address is not available.
    auto listen() -> uint16_t;

    /// Runs until the inbox requests a stop.
    auto run() -> void;

private:
    /// Outgoing queue, connection and dial backoff of one peer.
    struct peer_link {
        peer_queue queue;
        /// The connection that frames go out on, or null.
        peer_connection* connection { nullptr };
        bool dialing { false };
        kj::TimePoint nextAttempt { kj::origin<kj::TimePoint>() };
        uint32_t failures { 0 };
    };

    auto self() const -> node_key override { return m_context.settings.self; }
    auto incarnation() const -> uint64_t override { return m_context.settings.incarnation; }
    auto seal() const -> const frame_seal& override { return m_context.seal; }
    auto isKnown(node_key) const -> bool override;
    auto onEstablished(peer_connection&) -> void override;
    auto onWritable(peer_connection&) -> void override;
    auto onMessages(node_key sender, std::vector<peer_message>) -> void override;
    auto onRefused(result_code) -> void override;
    auto now() const -> kj::TimePoint override;
    auto taskFailed(kj::Exception&&) -> void override;

    auto acceptNext() -> void;
    auto waitForRequests() -> void;
    auto handleRequests() -> void;
    auto replacePeers(std::map<node_key, peer_address>) -> void;
    auto scheduleSweep() -> void;
    auto sweep() -> void;
    auto sweepConnections() -> void;
    auto dialWaiting() -> void;
    auto dial(endpoint, node_key expected) -> void;
    auto endFailedAttempt(node_key) -> void;
    auto flush(node_key) -> void;
    auto countSent(node_key, const std::vector<peer_message>&) -> void;
    auto queueClock() const -> time_point;

    transport_context& m_context;
    kj::AsyncIoContext& m_io;
    kj::UnixEventPort::FdObserver m_wakeObserver;
    random_generator m_random;
    std::map<node_key, peer_address> m_peers;
    std::map<node_key, peer_link> m_links;
    std::vector<std::unique_ptr<peer_connection>> m_connections;
    /// Connections dialed to seed endpoints, whose node keys were not known.
    std::map<endpoint, peer_connection*> m_seedConnections;
    /// Whether accepting failed and must be retried by the next sweep.
    bool m_acceptPaused { false };
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Own<kj::PromiseFulfiller<void>> m_stopped;
    kj::TaskSet m_tasks;
};

} // namespace gypsumhub
