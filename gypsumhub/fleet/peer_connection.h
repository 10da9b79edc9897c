#pragma once

#include "gypsumhub/fleet/peer_frame.h"
#include "gypsumhub/fleet/peer_schema.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace gypsumhub {

class peer_connection;

/// Interface of a connection to the transport that owns it. Called on the transport's thread.
class connection_host {
public:
    virtual ~connection_host() = default;
    virtual auto self() const -> node_key = 0;
    virtual auto incarnation() const -> uint64_t = 0;
    virtual auto seal() const -> const frame_seal& = 0;
    /// Whether this node is an accepted peer.
    virtual auto isKnown(node_key) const -> bool = 0;
    /// The connection was authenticated and can carry messages to its peer.
    virtual auto onEstablished(peer_connection&) -> void = 0;
    /// The connection can take the next frame.
    virtual auto onWritable(peer_connection&) -> void = 0;
    virtual auto onMessages(node_key sender, std::vector<peer_message>) -> void = 0;
    /// A frame was refused with this code.
    virtual auto onRefused(result_code) -> void = 0;
    virtual auto now() const -> kj::TimePoint = 0;
};

/// One TCP connection with a peer: Cap'n Proto RPC, a hello that authenticates both ends, and at most one frame in flight.
/// Lives on the transport's event loop. Once `isClosed` is true it does nothing, and its owner destroys it.
class peer_connection final : private kj::TaskSet::ErrorHandler {
public:
    /// Creates the connection over a stream that this node opened. `expected` is 0 for a seed whose node key is not known.
    static auto dial(connection_host&, kj::Own<kj::AsyncIoStream>, node_key expected) -> std::unique_ptr<peer_connection>;
    /// Creates the connection over a stream that a peer opened.
    static auto accept(connection_host&, kj::Own<kj::AsyncIoStream>) -> std::unique_ptr<peer_connection>;

    ~peer_connection();
    peer_connection(const peer_connection&) = delete;
    auto operator=(const peer_connection&) -> peer_connection& = delete;

    /// The peer's key; 0 until the hello if it was not known before.
    auto peer() const -> node_key { return m_peer; }
    auto isClosed() const -> bool { return m_closed; }
    /// Whether both ends have authenticated each other.
    auto isEstablished() const -> bool { return m_session.has_value(); }
    /// Whether `send` may be called now.
    auto isWritable() const -> bool { return m_session && !m_inFlight && !m_closed; }
    /// When the connection has timed out or is idle and must be closed.
    auto deadline() const -> kj::TimePoint { return m_deadline; }

    /// Sends the messages as one frame; the connection must be writable. If they exceed `maxFrameBytes`, all are dropped and
    /// `connection_host::onRefused` is called.
    auto send(std::span<const peer_message>) -> void;
    auto close() -> void { m_closed = true; }

private:
    friend class session_server;
    friend class node_server;

    using hello_context = capnp::CallContext<wire::PeerNode::HelloParams, wire::PeerNode::HelloResults>;

    /// Shared with the RPC servers, which may outlive the connection; null once it is destroyed.
    struct connection_reference {
        peer_connection* connection { nullptr };
    };

    peer_connection(connection_host&, kj::Own<kj::AsyncIoStream>, capnp::rpc::twoparty::Side);

    auto startHello(node_key expected) -> void;
    auto finishHello(wire::PeerNode::HelloResults::Reader, node_key expected) -> void;
    auto answerHello(hello_context) -> result_code;
    auto receive(wire::SealedFrame::Reader) -> result_code;
    auto open(wire::SealedFrame::Reader) -> std::optional<opened_frame>;
    auto refuse(result_code) -> result_code;
    auto outgoingHeader() const -> frame_header;
    auto taskFailed(kj::Exception&&) -> void override;

    connection_host& m_host;
    std::shared_ptr<connection_reference> m_reference;
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    std::optional<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> m_rpc;
    std::optional<wire::PeerSession::Client> m_session;
    // The acceptor's session to the dialer, unused until the dialer has proved that it knows the acceptor's nonce.
    std::optional<wire::PeerSession::Client> m_unverifiedSession;
    node_key m_peer;
    uint64_t m_dialerNonce { 0 };
    uint64_t m_acceptorNonce { 0 };
    uint64_t m_sentCounter { 0 };
    frame_sequence m_received;
    bool m_inFlight { false };
    bool m_closed { false };
    kj::TimePoint m_deadline;
    // The last member, so that tasks are destroyed before the members they use.
    kj::TaskSet m_tasks;
};

} // namespace gypsumhub
