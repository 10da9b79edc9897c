#include "gypsumhub/fleet/peer_transport.h"

#include "gypsumhub/fleet/transport_loop.h"

#include <future>
#include <optional>
#include <thread>

namespace gypsumhub {

struct peer_transport::running {
    transport_context context;
    uint16_t port { 0 };
    std::thread thread {};
};

namespace {

    // Body of the transport's thread. Reports the port, or nothing when the address cannot be had.
    auto runTransport(transport_context& context, std::promise<std::optional<uint16_t>> listening) -> void
    {
        auto io = kj::setupAsyncIo();
        auto loop = transport_loop(context, io);
        auto port = std::optional<uint16_t> {};
        auto thrown = kj::runCatchingExceptions([&] { port = loop.listen(); });
        listening.set_value(thrown == nullptr ? port : std::nullopt);
        if (thrown == nullptr)
            loop.run();
    }

} // namespace

peer_transport::peer_transport(std::unique_ptr<running> state)
    : m_running(std::move(state))
{
}

auto peer_transport::start(const peer_transport_settings& settings, peer_listener& listener, control_meter& meter)
    -> leaf::result<std::unique_ptr<peer_transport>>
{
    BOOST_LEAF_AUTO(seal, frame_seal::create(settings.keys));
    auto state = std::unique_ptr<running>(new running { { settings, std::move(seal), listener, meter } });
    auto promise = std::promise<std::optional<uint16_t>> {};
    auto listening = promise.get_future();
    state->thread = std::thread(runTransport, std::ref(state->context), std::move(promise));
    auto port = listening.get();
    auto transport = std::unique_ptr<peer_transport>(new peer_transport(std::move(state)));
    if (!port) {
        auto& address = settings.listenAddress;
        return failWith({ result_code::AddressInUse, "cannot listen on " + address.address + ":" + std::to_string(address.port), {}, 0,
            "choose a free peer address of this machine" });
    }
    transport->m_running->port = *port;
    return transport;
}

peer_transport::~peer_transport()
{
    m_running->context.inbox.stop();
    m_running->thread.join();
}

auto peer_transport::send(node_key receiver, peer_message message) -> void
{
    if (!m_running->context.inbox.addMessage({ receiver, std::move(message) }))
        m_running->context.counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
}

auto peer_transport::setPeers(std::map<node_key, peer_address> peers) -> void
{
    m_running->context.inbox.setPeers(std::move(peers));
}

auto peer_transport::connectToSeeds(std::vector<endpoint> seeds) -> void
{
    m_running->context.inbox.addSeeds(std::move(seeds));
}

auto peer_transport::counts() const -> peer_transport_counts
{
    auto& counters = m_running->context.counters;
    return { counters.framesSent.load(), counters.messagesReceived.load(), counters.connectionsOpened.load(),
        counters.connectionsFailed.load(), counters.messagesDropped.load(), counters.refusedUnauthenticated.load(),
        counters.refusedInvalid.load(), counters.refusedReplayed.load() };
}

auto peer_transport::listenPort() const -> uint16_t
{
    return m_running->port;
}

} // namespace gypsumhub
