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

/// What a connection needs of the transport that owns it. Called on the transport's thread.
class connection_host {
public:
    virtual ~connection_host() = default;
    virtual auto self() const -> node_key = 0;
    virtual auto incarnation() const -> uint64_t = 0;
    virtual auto seal() const -> const frame_seal& = 0;
    /// Whether this node may speak with us.
    virtual auto isKnown(node_key) const -> bool = 0;
    /// The connection can carry messages to its peer from now on.
    virtual auto onEstablished(peer_connection&) -> void = 0;
    /// The connection can take the next frame.
    virtual auto onWritable(peer_connection&) -> void = 0;
    virtual auto onMessages(node_key sender, std::vector<peer_message>) -> void = 0;
    /// A frame was refused with this code.
    virtual auto onRefused(result_code) -> void = 0;
    virtual auto now() const -> kj::TimePoint = 0;
};

/// One TCP connection with a peer: Cap'n Proto RPC, the hello that authenticates both ends, and one frame in flight at a
/// time. Lives on the transport's event loop; after `isClosed` it does nothing and its owner destroys it.
class peer_connection final : private kj::TaskSet::ErrorHandler {
public:
    /// A connection that this node opened. `expected` is 0 for a seed whose name is not known.
    static auto dial(connection_host&, kj::Own<kj::AsyncIoStream>, node_key expected) -> std::unique_ptr<peer_connection>;
    /// A connection that a peer opened.
    static auto accept(connection_host&, kj::Own<kj::AsyncIoStream>) -> std::unique_ptr<peer_connection>;

    ~peer_connection();
    peer_connection(const peer_connection&) = delete;
    auto operator=(const peer_connection&) -> peer_connection& = delete;

    /// The other end; 0 until the hello.
    auto peer() const -> node_key { return m_peer; }
    auto isClosed() const -> bool { return m_closed; }
    /// Whether both ends have authenticated each other.
    auto isEstablished() const -> bool { return m_session.has_value(); }
    /// Whether `send` may be called now.
    auto isWritable() const -> bool { return m_session && !m_inFlight && !m_closed; }
    /// When the connection counts as silent or idle and is to be closed.
    auto deadline() const -> kj::TimePoint { return m_deadline; }

    /// Sends one frame; the connection must be writable. Messages that do not fit a frame are refused and counted.
    auto send(std::span<const peer_message>) -> void;
    auto close() -> void { m_closed = true; }

private:
    friend class session_server;
    friend class node_server;

    using hello_context = capnp::CallContext<wire::PeerNode::HelloParams, wire::PeerNode::HelloResults>;

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
    // The acceptor's way back, not used before the dialer has proved that it knows the acceptor's nonce.
    std::optional<wire::PeerSession::Client> m_unverifiedSession;
    node_key m_peer;
    uint64_t m_dialerNonce { 0 };
    uint64_t m_acceptorNonce { 0 };
    uint64_t m_sentCounter { 0 };
    frame_sequence m_received;
    bool m_inFlight { false };
    bool m_closed { false };
    kj::TimePoint m_deadline;
    // Last, so that no task outlives what it uses.
    kj::TaskSet m_tasks;
};

} // namespace gypsumhub
