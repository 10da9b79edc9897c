#include "gypsumhub/fleet/transport_loop.h"

#include "gypsumhub/fleet/peer_codec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto sweepInterval = 50 * kj::MILLISECONDS;
    constexpr auto dialTimeout = 2 * kj::SECONDS;
    constexpr auto firstBackoff = 100 * kj::MILLISECONDS;
    constexpr auto maxBackoffDoublings = uint32_t { 6 };
    // A message that could not be sent for so long is worth nothing to its receiver any more.
    constexpr auto queueLimit = seconds(5);
    constexpr auto maxConnections = std::size_t { 2048 };
    // Packed frame header, digest and the Cap'n Proto call and return around them.
    constexpr auto frameOverheadBytes = std::size_t { 340 };

} // namespace

transport_loop::transport_loop(transport_context& context, kj::AsyncIoContext& io)
    : m_context(context)
    , m_io(io)
    , m_wakeObserver(io.unixEventPort, context.inbox.descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ)
    , m_random(context.settings.seed)
    , m_tasks(*this)
{
}

transport_loop::~transport_loop() noexcept = default;

auto transport_loop::listen() -> uint16_t
{
    auto& wanted = m_context.settings.listenAddress;
    auto address = m_io.provider->getNetwork().parseAddress(wanted.address, wanted.port).wait(m_io.waitScope);
    m_receiver = address->listen();
    return static_cast<uint16_t>(m_receiver->getPort());
}

auto transport_loop::run() -> void
{
    auto stopped = kj::newPromiseAndFulfiller<void>();
    m_stopped = kj::mv(stopped.fulfiller);
    acceptNext();
    waitForRequests();
    scheduleSweep();
    handleRequests();
    stopped.promise.wait(m_io.waitScope);
}

auto transport_loop::now() const -> kj::TimePoint
{
    return m_io.provider->getTimer().now();
}

auto transport_loop::queueClock() const -> time_point
{
    return { (now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS };
}

auto transport_loop::isKnown(node_key peer) const -> bool
{
    // Before the first configuration the node knows nobody, and every holder of a key may teach it.
    return m_peers.empty() || m_peers.contains(peer);
}

auto transport_loop::acceptNext() -> void
{
    m_tasks.add(m_receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream>&& stream) {
            // Above the limit the new connection is the one to go; those established serve on.
            if (m_connections.size() < maxConnections)
                m_connections.push_back(peer_connection::accept(*this, kj::mv(stream)));
            acceptNext();
        },
        // For want of descriptors, for example: they come back when the sweep has closed connections.
        [this](kj::Exception&&) { m_acceptPaused = true; }));
}

auto transport_loop::waitForRequests() -> void
{
    m_tasks.add(m_wakeObserver.whenBecomesReadable().then([this] {
        handleRequests();
        waitForRequests();
    }));
}

auto transport_loop::handleRequests() -> void
{
    auto requests = m_context.inbox.take();
    if (requests.stop)
        m_stopped->fulfill();
    if (requests.peers)
        replacePeers(std::move(*requests.peers));
    for (auto& seed : requests.seeds) {
        // Asked for again and again until there is a configuration; one connection each is enough.
        if (!m_seedConnections.contains(seed))
            dial(seed, {});
    }
    for (auto& entry : requests.messages) {
        auto& link = m_links[entry.receiver];
        auto dropped = link.queue.push(std::move(entry.message), queueClock() + queueLimit);
        m_context.counters.messagesDropped.fetch_add(dropped, std::memory_order_relaxed);
    }
    for (auto& entry : requests.messages)
        flush(entry.receiver);
    dialWaiting();
}

auto transport_loop::replacePeers(std::map<node_key, peer_address> peers) -> void
{
    m_peers = std::move(peers);
    // Who is no longer registered loses its connections too.
    for (auto& connection : m_connections) {
        if (connection->peer().value != 0 && !isKnown(connection->peer()))
            connection->close();
    }
}

auto transport_loop::scheduleSweep() -> void
{
    m_tasks.add(m_io.provider->getTimer().afterDelay(sweepInterval).then([this] {
        sweep();
        scheduleSweep();
    }));
}

auto transport_loop::sweep() -> void
{
    sweepConnections();
    if (std::exchange(m_acceptPaused, false))
        acceptNext();
    // Forget what waited too long and links that hold nothing and lead nowhere.
    for (auto& [peer, link] : m_links)
        m_context.counters.messagesDropped.fetch_add(link.queue.dropExpired(queueClock()), std::memory_order_relaxed);
    std::erase_if(m_links, [&](auto& entry) {
        auto& link = entry.second;
        return link.queue.empty() && !link.connection && !link.dialing && link.nextAttempt <= now();
    });
    dialWaiting();
}

auto transport_loop::sweepConnections() -> void
{
    for (auto& connection : m_connections) {
        // A silent connection is given up; its peer is dialed anew when there is something to say.
        if (connection->deadline() <= now())
            connection->close();
        if (!connection->isClosed())
            continue;
        // The hello failed: the attempt ends here.
        if (!connection->isEstablished())
            endFailedAttempt(connection->peer());
        auto link = m_links.find(connection->peer());
        if (link != m_links.end() && link->second.connection == connection.get())
            link->second.connection = nullptr;
    }
    std::erase_if(m_seedConnections, [](auto& entry) { return entry.second->isClosed(); });
    std::erase_if(m_connections, [](auto& connection) { return connection->isClosed(); });
}

auto transport_loop::dialWaiting() -> void
{
    for (auto& [peer, link] : m_links) {
        if (link.queue.empty() || link.connection || link.dialing || link.nextAttempt > now())
            continue;
        auto address = m_peers.find(peer);
        if (address == m_peers.end())
            continue;
        link.dialing = true;
        dial(address->second.address, peer);
    }
}

auto transport_loop::dial(endpoint target, node_key expected) -> void
{
    auto parsed = m_io.provider->getNetwork().parseAddress(target.address, target.port);
    auto connected = parsed.then([](kj::Own<kj::NetworkAddress>&& address) {
        auto promise = address->connect();
        return promise.attach(kj::mv(address));
    });
    auto& timer = m_io.provider->getTimer();
    m_tasks.add(timer.timeoutAfter(dialTimeout, kj::mv(connected))
                    .then(
                        [this, expected, target](kj::Own<kj::AsyncIoStream>&& stream) {
                            m_connections.push_back(peer_connection::dial(*this, kj::mv(stream), expected));
                            if (expected.value == 0)
                                m_seedConnections[target] = m_connections.back().get();
                        },
                        [this, expected](kj::Exception&&) { endFailedAttempt(expected); }));
}

auto transport_loop::endFailedAttempt(node_key peer) -> void
{
    m_context.counters.connectionsFailed.fetch_add(1, std::memory_order_relaxed);
    auto found = m_links.find(peer);
    if (found == m_links.end())
        return;
    auto& link = found->second;
    link.dialing = false;
    auto doublings = std::min(link.failures++, maxBackoffDoublings);
    // Jitter between half and one and a half keeps nodes from dialing a restarted peer all at once.
    auto jitter = static_cast<int64_t>(500 + m_random.below(1000));
    link.nextAttempt = now() + firstBackoff * (int64_t { 1 } << doublings) * jitter / 1000;
}

auto transport_loop::onEstablished(peer_connection& connection) -> void
{
    auto& link = m_links[connection.peer()];
    link.connection = &connection;
    link.dialing = false;
    link.failures = 0;
    link.nextAttempt = now();
    m_context.counters.connectionsOpened.fetch_add(1, std::memory_order_relaxed);
    m_context.listener.onPeerConnected(connection.peer());
    flush(connection.peer());
}

auto transport_loop::onWritable(peer_connection& connection) -> void
{
    flush(connection.peer());
}

auto transport_loop::flush(node_key peer) -> void
{
    auto found = m_links.find(peer);
    if (found == m_links.end())
        return;
    auto& link = found->second;
    if (!link.connection || !link.connection->isWritable() || link.queue.empty())
        return;
    auto batch = link.queue.takeBatch();
    link.connection->send(batch);
    countSent(peer, batch);
}

auto transport_loop::countSent(node_key peer, const std::vector<peer_message>& batch) -> void
{
    auto address = m_peers.find(peer);
    auto distance = address == m_peers.end() ? peer_distance::SameDataCentre : address->second.distance;
    for (auto& message : batch)
        m_context.meter.count(message.index(), distance, encodedSize(message));
    m_context.meter.countOverhead(distance, frameOverheadBytes);
    m_context.counters.framesSent.fetch_add(1, std::memory_order_relaxed);
}

auto transport_loop::onMessages(node_key sender, std::vector<peer_message> messages) -> void
{
    m_context.counters.messagesReceived.fetch_add(messages.size(), std::memory_order_relaxed);
    for (auto& message : messages)
        m_context.listener.onPeerMessage(sender, std::move(message));
}

auto transport_loop::onRefused(result_code code) -> void
{
    auto& counters = m_context.counters;
    if (code == result_code::PeerUnauthenticated)
        counters.refusedUnauthenticated.fetch_add(1, std::memory_order_relaxed);
    else if (code == result_code::PeerFrameReplayed)
        counters.refusedReplayed.fetch_add(1, std::memory_order_relaxed);
    else
        counters.refusedInvalid.fetch_add(1, std::memory_order_relaxed);
}

auto transport_loop::taskFailed(kj::Exception&&) -> void
{
    // A task for one connection failed; its deadline ends the connection.
}

} // namespace gypsumhub
