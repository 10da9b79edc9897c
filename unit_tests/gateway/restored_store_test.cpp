#include "gypsumhub/config/section_reader.h"
#include "unit_tests/gateway/gateway_fixture.h"

#include <algorithm>
#include <string_view>

using namespace gypsumhub;

namespace {

// From the store's acknowledgement of a change until no request may reach a leaving target.
constexpr auto drainLimit = std::chrono::milliseconds(2'000);
// From the store's acknowledgement of a configuration until it must be in force.
constexpr auto configurationLimit = std::chrono::milliseconds(2'000);
constexpr auto nodeCount = 2;

// Registrations that make the store's revision rise, but affect no routing.
auto raiseRevision(gateway_fixture& fleet, int count) -> void
{
    for (auto write = 0; write < count; ++write)
        fleet.registerTarget(static_cast<int>(fleet.targets.size()) - 1, "ready");
}

// How many of some requests to all nodes the target runs.
auto runsDuringRequests(gateway_fixture& fleet, int target) -> int
{
    auto& counted = *fleet.targets[static_cast<size_t>(target)];
    auto before = counted.totalRuns();
    for (auto count = 0; count < 30; ++count)
        sendRequest(gateway_fixture::callerAddress(count % nodeCount), http::verb::get, "/safe/", "probe-" + std::to_string(count));
    return counted.totalRuns() - before;
}

auto waitUntilKnown() -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
}

/// A registered node of another data centre, of which only the socket for datagrams exists.
class distant_node {
public:
    explicit distant_node(fake_keyspace_server& store)
        : m_socket(m_context, { asio::ip::make_address(address.address), address.port })
    {
        m_socket.non_blocking(true);
        store.put("gypsumhub/nodes/b1/distant", R"({"data_centre":"b1","caller_address":"127.0.8.1:1","peer_address":")" + formatEndpoint(address) + R"("})");
    }

    /// Whether the target's limit, which changes now, is made known to this node.
    auto learnsLimit(gateway_fixture& fleet, int target, const std::string& requestsPerSecond) -> bool
    {
        receivesDatagram();
        fleet.targets[static_cast<size_t>(target)]->setStatedLimit(requestsPerSecond);
        runsDuringRequests(fleet, target);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        return receivesDatagram();
    }

private:
    auto receivesDatagram() -> bool
    {
        auto bytes = std::array<char, 2'048> {};
        auto count = 0;
        for (auto error = error_code {}; !error; count += error ? 0 : 1)
            m_socket.receive(asio::buffer(bytes), 0, error);
        return count > 0;
    }

    inline static const auto address = endpoint { "127.0.8.1", gateway_fixture::portOf(4) };
    asio::io_context m_context;
    asio::ip::udp::socket m_socket;
};

} // namespace

TEST_CASE("targets that leave after the store was restored receive nothing more, though their revisions are lower than before")
{
    auto fleet = gateway_fixture {};
    fleet.store.saveCopy();
    // The span that is lost: the target's entry gets a high revision.
    raiseRevision(fleet, 50);
    fleet.registerTarget(0, "ready");
    fleet.registerTarget(1, "ready");
    waitUntilKnown();
    fleet.store.setUnavailable(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.store.restoreCopy();
    fleet.store.setUnavailable(false);
    waitUntilKnown();
    fleet.registerTarget(0, "draining");
    fleet.store.remove("servers/" + gateway_fixture::targetId(1));
    std::this_thread::sleep_for(drainLimit);
    CHECK(runsDuringRequests(fleet, 0) == 0);
    CHECK(runsDuringRequests(fleet, 1) == 0);
    CHECK(runsDuringRequests(fleet, 2) > 0);
}

TEST_CASE("changes that a restored store makes before a watch returns are not missed when they pass its position")
{
    auto fleet = gateway_fixture {};
    fleet.store.saveCopy();
    raiseRevision(fleet, 3);
    waitUntilKnown();
    // Instantly: no call fails. The first change has a revision that the watch has passed.
    fleet.store.restoreCopy();
    fleet.registerTarget(0, "draining");
    raiseRevision(fleet, 20);
    std::this_thread::sleep_for(drainLimit);
    CHECK(runsDuringRequests(fleet, 0) == 0);
    CHECK(runsDuringRequests(fleet, 2) > 0);
}

TEST_CASE("a configuration that is written after the store was restored comes into force when a watch's position was passed")
{
    auto fleet = gateway_fixture {};
    fleet.store.saveCopy();
    raiseRevision(fleet, 3);
    waitUntilKnown();
    fleet.store.restoreCopy();
    fleet.configure(2, "empty");
    raiseRevision(fleet, 20);
    std::this_thread::sleep_for(configurationLimit);
    for (auto node = 0; node < nodeCount; ++node)
        CHECK(sendRequest(gateway_fixture::callerAddress(node), http::verb::get, "/safe/", "c").status == 503);
}

TEST_CASE("what an older copy of the store says about targets and configuration does not come back")
{
    auto fleet = gateway_fixture {};
    fleet.store.saveCopy();
    fleet.registerTarget(0, "draining");
    fleet.store.remove("servers/" + gateway_fixture::targetId(1));
    fleet.configure(2, "bookdesk");
    waitUntilKnown();
    REQUIRE(runsDuringRequests(fleet, 0) + runsDuringRequests(fleet, 1) == 0);
    fleet.store.restoreCopy();
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
    // The target writes again what it had reported.
    fleet.registerTarget(0, "draining");
    CHECK(runsDuringRequests(fleet, 0) + runsDuringRequests(fleet, 1) == 0);
    waitUntilKnown();
    CHECK(runsDuringRequests(fleet, 0) + runsDuringRequests(fleet, 1) == 0);
}

TEST_CASE("targets that the older copy lacks keep serving until they have registered again")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 3);
    fleet.store.remove("servers/" + gateway_fixture::targetId(0));
    waitUntilKnown();
    fleet.store.saveCopy();
    fleet.registerTarget(0, "ready");
    CHECK(eventually([&] { return runsDuringRequests(fleet, 0) > 0; }));
    fleet.registerTarget(1, "draining");
    fleet.registerTarget(2, "draining");
    waitUntilKnown();
    fleet.store.restoreCopy();
    fleet.registerTarget(1, "draining");
    fleet.registerTarget(2, "draining");
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    CHECK(runsDuringRequests(fleet, 0) == 30);
    fleet.registerTarget(0, "ready");
    std::this_thread::sleep_for(drainLimit);
    CHECK(runsDuringRequests(fleet, 0) == 30);
}

TEST_CASE("nodes whose registrations a restored store has lost register again, though their lease numbers are given out again")
{
    auto fleet = gateway_fixture {};
    fleet.store.saveCopy();
    for (auto index = nodeCount; index < nodeCount + 2; ++index)
        fleet.startNode(index);
    for (auto index = nodeCount; index < nodeCount + 2; ++index)
        REQUIRE(eventually([&] { return fleet.isReady(index); }));
    REQUIRE(eventually([&] { return fleet.store.keys("gypsumhub/nodes/").size() == nodeCount + 2; }));
    fleet.store.restoreCopy();
    // Another node is given the lease numbers of the lost ones.
    fleet.startNode(nodeCount + 2);
    CHECK(eventually([&] { return fleet.store.keys("gypsumhub/nodes/").size() == nodeCount + 3; }));
}

TEST_CASE("nodes of other data centres that a restored store has lost are not forgotten before they could register again")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 1);
    fleet.store.saveCopy();
    auto distant = distant_node(fleet.store);
    REQUIRE(eventually([&] { return distant.learnsLimit(fleet, 0, "50") || distant.learnsLimit(fleet, 0, ""); }));
    distant.learnsLimit(fleet, 0, "");
    fleet.store.restoreCopy();
    // Longer than the reader takes to list the nodes again.
    std::this_thread::sleep_for(std::chrono::seconds(5));
    CHECK(distant.learnsLimit(fleet, 0, "50"));
}

TEST_CASE("nodes that register after the store was restored are known when a watch's position was passed")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 1);
    fleet.store.saveCopy();
    raiseRevision(fleet, 3);
    // Longer than the pause between two watches of the nodes.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    fleet.store.restoreCopy();
    auto distant = distant_node(fleet.store);
    raiseRevision(fleet, 20);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    CHECK(distant.learnsLimit(fleet, 0, "50"));
}
