#include "gypsumhub/fleet/peer_connection.h"

#include <cassert>
#include <openssl/rand.h>

namespace gypsumhub {

namespace {

    // Timeout for the answer to a hello or the confirmation of a frame.
    constexpr auto answerTimeout = 3 * kj::SECONDS;
    // A connection without traffic for this time is closed.
    constexpr auto idleTimeout = 60 * kj::SECONDS;
    constexpr auto readLimitWords = uint64_t { 2 * maxFrameBytes / sizeof(capnp::word) };

    auto readerOptions() -> capnp::ReaderOptions
    {
        auto options = capnp::ReaderOptions {};
        options.traversalLimitInWords = readLimitWords;
        return options;
    }

    auto randomNonce() -> uint64_t
    {
        auto nonce = uint64_t { 0 };
        [[maybe_unused]] auto done = RAND_bytes(reinterpret_cast<unsigned char*>(&nonce), sizeof(nonce));
        assert(done == 1);
        return nonce;
    }

    auto asBytes(capnp::Data::Reader data) -> std::span<const std::byte>
    {
        return std::as_bytes(std::span(data.begin(), data.size()));
    }

    auto writeFrame(wire::SealedFrame::Builder out, const sealed_frame& frame) -> void
    {
        out.setBody({ reinterpret_cast<const kj::byte*>(frame.body.data()), frame.body.size() });
        out.setTag({ reinterpret_cast<const kj::byte*>(frame.tag.data()), frame.tag.size() });
    }

    auto toException(result_code code) -> kj::Exception
    {
        return { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(describe(code).name.data()) };
    }

} // namespace

/// Receives the peer's frames of one session.
class session_server final : public wire::PeerSession::Server {
public:
    explicit session_server(std::shared_ptr<peer_connection::connection_reference> reference)
        : m_reference(std::move(reference))
    {
    }

    auto deliver(DeliverContext context) -> kj::Promise<void> override
    {
        if (!m_reference->connection)
            return toException(result_code::PeerUnreachable);
        auto code = m_reference->connection->receive(context.getParams().getFrame());
        if (code != result_code::Ok)
            return toException(code);
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<peer_connection::connection_reference> m_reference;
};

/// Receives the hello of one accepted connection.
class node_server final : public wire::PeerNode::Server {
public:
    explicit node_server(std::shared_ptr<peer_connection::connection_reference> reference)
        : m_reference(std::move(reference))
    {
    }

    auto hello(HelloContext context) -> kj::Promise<void> override
    {
        if (!m_reference->connection)
            return toException(result_code::PeerUnreachable);
        auto code = m_reference->connection->answerHello(context);
        if (code != result_code::Ok)
            return toException(code);
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<peer_connection::connection_reference> m_reference;
};

peer_connection::peer_connection(connection_host& host, kj::Own<kj::AsyncIoStream> stream, capnp::rpc::twoparty::Side side)
    : m_host(host)
    , m_reference(std::make_shared<connection_reference>(connection_reference { this }))
    , m_stream(kj::mv(stream))
    , m_network(*m_stream, side, readerOptions())
    , m_deadline(host.now() + answerTimeout)
    , m_tasks(*this)
{
    m_tasks.add(m_network.onDisconnect().then([this] { close(); }));
}

peer_connection::~peer_connection()
{
    m_reference->connection = nullptr;
}

auto peer_connection::taskFailed(kj::Exception&&) -> void
{
    // The kind of failure does not matter: the owner treats the connection as lost and dials again after a backoff.
    close();
}

auto peer_connection::dial(connection_host& host, kj::Own<kj::AsyncIoStream> stream, node_key expected) -> std::unique_ptr<peer_connection>
{
    auto connection = std::unique_ptr<peer_connection>(
        new peer_connection(host, kj::mv(stream), capnp::rpc::twoparty::Side::CLIENT));
    connection->m_rpc.emplace(capnp::makeRpcClient(connection->m_network));
    connection->startHello(expected);
    return connection;
}

auto peer_connection::accept(connection_host& host, kj::Own<kj::AsyncIoStream> stream) -> std::unique_ptr<peer_connection>
{
    auto connection = std::unique_ptr<peer_connection>(
        new peer_connection(host, kj::mv(stream), capnp::rpc::twoparty::Side::SERVER));
    auto bootstrap = capnp::Capability::Client(kj::heap<node_server>(connection->m_reference));
    connection->m_rpc.emplace(capnp::makeRpcServer(connection->m_network, kj::mv(bootstrap)));
    return connection;
}

auto peer_connection::outgoingHeader() const -> frame_header
{
    return { m_host.self(), m_peer, m_host.incarnation(), m_sentCounter, m_dialerNonce, m_acceptorNonce };
}

auto peer_connection::startHello(node_key expected) -> void
{
    m_peer = expected;
    m_dialerNonce = randomNonce();
    auto frame = sealFrame(m_host.seal(), outgoingHeader(), {});
    assert(frame);
    auto message = capnp::MallocMessageBuilder {};
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto request = m_rpc->bootstrap(vat).castAs<wire::PeerNode>().helloRequest();
    writeFrame(request.initFrame(), *frame);
    request.setBack(kj::heap<session_server>(m_reference));
    m_tasks.add(request.send().then(
        [this, expected](capnp::Response<wire::PeerNode::HelloResults>&& answer) { finishHello(answer, expected); }));
}

auto peer_connection::finishHello(wire::PeerNode::HelloResults::Reader answer, node_key expected) -> void
{
    auto frame = open(answer.getFrame());
    if (!frame)
        return;
    auto& header = frame->header;
    // The answer must come from the expected node, be addressed to this node and match this hello.
    auto isExpectedPeer = (expected.value == 0 || header.sender == expected) && header.receiver == m_host.self();
    if (!isExpectedPeer || header.sender == m_host.self() || !m_host.isKnown(header.sender)) {
        refuse(result_code::PeerUnauthenticated);
        return;
    }
    if (header.dialerNonce != m_dialerNonce) {
        refuse(result_code::PeerFrameReplayed);
        return;
    }
    m_peer = header.sender;
    m_acceptorNonce = header.acceptorNonce;
    m_session = answer.getSession();
    m_received = frame_sequence({ m_peer, m_host.self(), 0, 0, m_dialerNonce, m_acceptorNonce });
    m_deadline = m_host.now() + idleTimeout;
    m_host.onEstablished(*this);
    // An empty frame proves to the acceptor that this node knows its nonce; only then does the acceptor send frames back.
    if (isWritable())
        send({});
}

auto peer_connection::answerHello(hello_context context) -> result_code
{
    auto frame = open(context.getParams().getFrame());
    if (!frame)
        return result_code::PeerUnauthenticated;
    auto& header = frame->header;
    auto isForThisNode = header.receiver == m_host.self() || header.receiver.value == 0;
    if (!isForThisNode || header.sender == m_host.self() || !m_host.isKnown(header.sender))
        return refuse(result_code::PeerUnauthenticated);
    // A second hello on one connection is never legitimate.
    if (m_dialerNonce != 0 || header.counter != 0)
        return refuse(result_code::PeerFrameReplayed);
    m_peer = header.sender;
    m_dialerNonce = header.dialerNonce;
    m_acceptorNonce = randomNonce();
    m_received = frame_sequence({ m_peer, m_host.self(), 0, 0, m_dialerNonce, m_acceptorNonce });
    m_unverifiedSession = context.getParams().getBack();
    auto answer = sealFrame(m_host.seal(), outgoingHeader(), {});
    assert(answer);
    auto results = context.getResults();
    writeFrame(results.initFrame(), *answer);
    results.setSession(kj::heap<session_server>(m_reference));
    return result_code::Ok;
}

auto peer_connection::open(wire::SealedFrame::Reader frame) -> std::optional<opened_frame>
{
    auto opened = std::optional<opened_frame> {};
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(opened, openFrame(m_host.seal(), asBytes(frame.getBody()), asBytes(frame.getTag())));
            return {};
        },
        [&](const fault_list& list) { refuse(list.faults.front().code); }, [&] { refuse(result_code::PeerFrameInvalid); });
    return opened;
}

auto peer_connection::refuse(result_code code) -> result_code
{
    m_host.onRefused(code);
    close();
    return code;
}

auto peer_connection::receive(wire::SealedFrame::Reader sealed) -> result_code
{
    if (m_closed)
        return result_code::PeerUnreachable;
    auto frame = open(sealed);
    if (!frame)
        return result_code::PeerUnauthenticated;
    auto code = m_received.check(frame->header);
    if (code != result_code::Ok)
        return refuse(code);
    // While a sent frame waits for its confirmation, its deadline stays.
    if (!m_inFlight)
        m_deadline = m_host.now() + idleTimeout;
    if (m_unverifiedSession) {
        m_session = std::move(m_unverifiedSession);
        m_unverifiedSession.reset();
        m_host.onEstablished(*this);
    }
    if (!frame->messages.empty())
        m_host.onMessages(m_peer, std::move(frame->messages));
    return result_code::Ok;
}

auto peer_connection::send(std::span<const peer_message> messages) -> void
{
    assert(isWritable());
    ++m_sentCounter;
    auto frame = sealFrame(m_host.seal(), outgoingHeader(), messages);
    if (!frame) {
        m_host.onRefused(result_code::PeerFrameInvalid);
        return;
    }
    auto request = m_session->deliverRequest();
    writeFrame(request.initFrame(), *frame);
    m_inFlight = true;
    m_deadline = m_host.now() + answerTimeout;
    m_tasks.add(request.send().then([this](capnp::Response<wire::PeerSession::DeliverResults>&&) {
        m_inFlight = false;
        m_deadline = m_host.now() + idleTimeout;
        m_host.onWritable(*this);
    }));
}

} // namespace gypsumhub
