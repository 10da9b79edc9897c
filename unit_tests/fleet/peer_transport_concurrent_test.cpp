#include "gypsumhub/fleet/peer_transport.h"

#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

namespace gypsumhub {

namespace {

    const auto sharedKey = std::string("00112233445566778899aabbccddeeff");
    const auto otherKey = std::string("ffeeddccbbaa99887766554433221100");

    /// Collects what a transport delivers and lets the test wait for a count.
    class collecting_listener final : public peer_listener {
    public:
        auto onPeerMessage(node_key sender, peer_message message) -> void override
        {
            auto lock = std::lock_guard(m_mutex);
            m_messages.emplace_back(sender, std::move(message));
            m_changed.notify_all();
        }

        auto onPeerConnected(node_key peer) -> void override
        {
            auto lock = std::lock_guard(m_mutex);
            m_connectedPeers.push_back(peer);
            m_changed.notify_all();
        }

        auto waitForMessages(std::size_t count) -> std::vector<std::pair<node_key, peer_message>>
        {
            auto lock = std::unique_lock(m_mutex);
            m_changed.wait(lock, [&] { return m_messages.size() >= count; });
            return m_messages;
        }

        auto waitForConnectedPeer() -> node_key
        {
            auto lock = std::unique_lock(m_mutex);
            m_changed.wait(lock, [&] { return !m_connectedPeers.empty(); });
            return m_connectedPeers.front();
        }

        auto messageCount() -> std::size_t
        {
            auto lock = std::lock_guard(m_mutex);
            return m_messages.size();
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::vector<std::pair<node_key, peer_message>> m_messages;
        std::vector<node_key> m_connectedPeers;
    };

    /// One transport on loopback with its listener and meter.
    struct test_node {
        explicit test_node(uint64_t key, std::vector<std::string> keys)
            : key { key }
        {
            auto settings = peer_transport_settings { { key }, key, { "127.0.0.1", 0 }, std::move(keys), key };
            auto started = peer_transport::start(settings, listener, meter);
            REQUIRE(started);
            transport = std::move(*started);
        }

        auto address() const -> peer_address { return { { "127.0.0.1", transport->listenPort() }, peer_distance::SameDataCentre }; }

        node_key key;
        collecting_listener listener;
        control_meter meter;
        std::unique_ptr<peer_transport> transport;
    };

} // namespace

TEST_CASE("messages pass in both directions over an authenticated connection and are counted")
{
    auto a = test_node(1, { sharedKey });
    auto b = test_node(2, { sharedKey });
    a.transport->setPeers({ { b.key, b.address() } });
    b.transport->setPeers({ { a.key, a.address() } });

    a.transport->send(b.key, ping_message { 7, 1, {} });
    auto received = b.listener.waitForMessages(1);
    CHECK(received.front().first == a.key);
    CHECK(std::get<ping_message>(received.front().second).sequence == 7);
    b.transport->send(a.key, ping_ack_message { 7, 2, b.key, true });
    auto answered = a.listener.waitForMessages(1);
    CHECK(std::get<ping_ack_message>(answered.front().second).subject == b.key);
    CHECK(a.meter.totalBytes() > 0);
    CHECK(a.transport->counts().refusedUnauthenticated == 0);
}

TEST_CASE("keys are rotated without interruption: the first key signs and all keys verify")
{
    auto a = test_node(1, { otherKey, sharedKey });
    auto b = test_node(2, { sharedKey, otherKey });
    a.transport->setPeers({ { b.key, b.address() } });
    b.transport->setPeers({ { a.key, a.address() } });
    a.transport->send(b.key, ping_message { 1, 1, {} });
    b.listener.waitForMessages(1);
    CHECK(b.transport->counts().refusedUnauthenticated == 0);
}

TEST_CASE("a peer with a foreign key and a peer that is not registered are refused and counted")
{
    auto a = test_node(1, { sharedKey });
    auto foreign = test_node(3, { otherKey });
    auto unregistered = test_node(4, { sharedKey });
    auto registered = test_node(2, { sharedKey });
    a.transport->setPeers({ { registered.key, registered.address() } });
    for (auto* node : { &foreign, &unregistered }) {
        node->transport->setPeers({ { a.key, a.address() } });
        node->transport->send(a.key, ping_message { 1, 1, {} });
    }
    while (a.transport->counts().refusedUnauthenticated < 2)
        std::this_thread::yield();

    // The refusals do not affect a registered peer.
    registered.transport->setPeers({ { a.key, a.address() } });
    registered.transport->send(a.key, ping_message { 2, 1, {} });
    auto received = a.listener.waitForMessages(1);
    CHECK(received.front().first == registered.key);
    CHECK(a.listener.messageCount() == 1);
}

TEST_CASE("a node without configuration exchanges digests with a seed whose node key it does not know")
{
    auto seed = test_node(1, { sharedKey });
    auto starting = test_node(2, { sharedKey });
    starting.transport->connectToSeeds({ seed.address().address });
    CHECK(starting.listener.waitForConnectedPeer() == seed.key);
    starting.transport->send(seed.key, digest_message {});
    CHECK(seed.listener.waitForMessages(1).front().first == starting.key);
    // The seed answers over the same connection: it has no address for the starting node.
    seed.transport->send(starting.key, digest_message { { 3, {} }, 0 });
    CHECK(std::get<digest_message>(starting.listener.waitForMessages(1).front().second).revision.number == 3);
}

TEST_CASE("messages of a node removed from the register are refused")
{
    auto a = test_node(1, { sharedKey });
    auto b = test_node(2, { sharedKey });
    a.transport->setPeers({ { b.key, b.address() } });
    b.transport->setPeers({ { a.key, a.address() } });
    b.transport->send(a.key, ping_message { 1, 1, {} });
    a.listener.waitForMessages(1);
    a.transport->setPeers({ { { 9 }, b.address() } });
    // Messages from b are now refused, whether over the old connection or a new one.
    while (a.transport->counts().refusedUnauthenticated == 0) {
        b.transport->send(a.key, ping_message { 2, 1, {} });
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(a.transport->counts().refusedUnauthenticated > 0);
}

TEST_CASE("messages reach a peer that was replaced under the same address")
{
    auto a = test_node(1, { sharedKey });
    auto address = peer_address {};
    {
        auto first = test_node(2, { sharedKey });
        address = first.address();
        a.transport->setPeers({ { first.key, address } });
        a.transport->send(first.key, ping_message { 1, 1, {} });
        first.listener.waitForMessages(1);
    }
    // A message may be lost with the old connection; later ones reach the new process.
    auto listener = collecting_listener {};
    auto meter = control_meter {};
    auto settings = peer_transport_settings { { 2 }, 99, address.address, { sharedKey }, 2 };
    auto second = peer_transport::start(settings, listener, meter);
    REQUIRE(second);
    while (listener.messageCount() == 0) {
        a.transport->send({ 2 }, ping_message { 2, 1, {} });
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(a.transport->counts().connectionsOpened >= 2);
}

TEST_CASE("invalid keys and a used address are refused at the start")
{
    auto listener = collecting_listener {};
    auto meter = control_meter {};
    CHECK_FALSE(peer_transport::start({ { 1 }, 1, { "127.0.0.1", 0 }, { "short" }, 1 }, listener, meter));
    CHECK_FALSE(peer_transport::start({ { 1 }, 1, { "127.0.0.1", 0 }, {}, 1 }, listener, meter));
    auto first = peer_transport::start({ { 1 }, 1, { "127.0.0.1", 0 }, { sharedKey }, 1 }, listener, meter);
    REQUIRE(first);
    auto usedAddress = endpoint { "127.0.0.1", (*first)->listenPort() };
    CHECK_FALSE(peer_transport::start({ { 2 }, 1, usedAddress, { sharedKey }, 1 }, listener, meter));
}

} // namespace gypsumhub
