#include "fakes/fake_network_fleet.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    auto hasRolledBack(const fake_network_fleet& fleet) -> bool
    {
        return std::ranges::any_of(fleet.runningNodes, [](auto& entry) { return entry.second && entry.second->source.revisionRegressions() != 0; });
    }

    auto blocked() -> fake_network::link_quality
    {
        return { milliseconds(1), 1 };
    }

    auto totalRefusals(const fake_network_fleet& fleet, result_code code) -> std::size_t
    {
        auto total = std::size_t { 0 };
        for (auto& [key, fleetNode] : fleet.runningNodes)
            total += fleetNode ? static_cast<std::size_t>(std::ranges::count(fleetNode->refusals, code)) : 0;
        return total;
    }

} // namespace

TEST_CASE("a change is in force on 40 nodes within 5 s despite message loss, and only designated readers call the store")
{
    auto settings = fake_network_fleet::settings {};
    settings.loss = 0.05;
    auto fleet = fake_network_fleet(settings);
    fleet.network.runFor(seconds(30));
    auto callsBefore = fleet.storeCalls;
    for (auto change = 0; change < 20; ++change) {
        auto publishedAt = fleet.network.now();
        auto revision = fleet.publish();
        auto inForce = fleet.runUntilAllAt(revision, publishedAt + seconds(5));
        CHECK(inForce != never);
        fleet.network.runUntil(publishedAt + seconds(20));
    }
    // Two designated readers in each of four data centres: watches, the reads after them, and one read per change.
    CHECK(fleet.storeCalls - callsBefore <= 8 * (2 * 21 + 20));
    CHECK_FALSE(hasRolledBack(fleet));
}

TEST_CASE("the exchange of digests repairs a lost announcement, which stays lost without it")
{
    for (auto exchangesDigests : { true, false }) {
        auto settings = fake_network_fleet::settings {};
        settings.replicator.exchangesDigests = exchangesDigests;
        auto fleet = fake_network_fleet(settings);
        fleet.network.runFor(seconds(10));
        // Node 7 receives nothing while the revision is announced.
        fleet.network.setLinks([](node_key, node_key to) { return to.value == 7 ? blocked() : fake_network::link_quality {}; });
        auto revision = fleet.publish();
        fleet.network.runFor(seconds(1));
        CHECK(fleet.countNodesAt(revision) == 39);
        fleet.network.setLinks(fleet.defaultLinks());
        fleet.network.runFor(seconds(15));
        CHECK(fleet.countNodesAt(revision) == (exchangesDigests ? 40 : 39));
    }
}

TEST_CASE("a node that starts during a store outage gets the highest revision from its peers")
{
    auto fleet = fake_network_fleet({});
    fleet.network.runFor(seconds(10));
    auto revision = fleet.publish();
    fleet.network.runFor(seconds(5));
    fleet.storeAvailable = false;
    // One of the seeds has an older revision.
    fleet.kill({ 2 });
    fleet.start({ 2 }, 5'000'000'000, fleet.firstRevision);
    fleet.kill({ 33 });
    fleet.start({ 33 }, 5'000'000'000, {});
    CHECK_FALSE(fleet.runningNodes[{ 33 }]->node.isReady());
    fleet.network.runFor(seconds(5));
    CHECK(fleet.countNodesAt(revision) == 40);
    CHECK(fleet.runningNodes[{ 33 }]->node.isReady());
}

TEST_CASE("a node without peers and without a store is not ready")
{
    auto settings = fake_network_fleet::settings {};
    settings.startsConfigured = false;
    auto fleet = fake_network_fleet(settings);
    fleet.storeAvailable = false;
    fleet.network.runFor(seconds(30));
    for (auto& [key, fleetNode] : fleet.runningNodes)
        CHECK_FALSE(fleetNode->node.isReady());
    fleet.storeAvailable = true;
    fleet.network.runFor(seconds(10));
    CHECK(fleet.countNodesAt(fleet.firstRevision) == 40);
}

TEST_CASE("a node without seeds reads the store at once")
{
    auto settings = fake_network_fleet::settings {};
    settings.startsConfigured = false;
    settings.dataCentres = 1;
    settings.perDataCentre = 1;
    settings.replicator.hasSeeds = false;
    auto fleet = fake_network_fleet(settings);
    fleet.network.runFor(milliseconds(300));
    CHECK(fleet.runningNodes[{ 1 }]->node.isReady());
}

TEST_CASE("a cold start of the whole fleet does not overload the store")
{
    auto settings = fake_network_fleet::settings {};
    settings.startsConfigured = false;
    settings.dataCentres = 5;
    settings.perDataCentre = 40;
    auto fleet = fake_network_fleet(settings);
    fleet.network.runFor(seconds(20));
    CHECK(fleet.countNodesAt(fleet.firstRevision) == 200);
    // If all 200 nodes read it themselves, there would be 4000 calls.
    CHECK(fleet.storeCalls < 1000);
}

TEST_CASE("a rolled-back or forked store is refused and reported, and no node returns to an earlier revision")
{
    auto fleet = fake_network_fleet({});
    fleet.network.runFor(seconds(5));
    auto second = fleet.publish();
    fleet.network.runFor(seconds(5));
    auto third = fleet.publish();
    fleet.network.runFor(seconds(5));
    CHECK(fleet.countNodesAt(third) == 40);

    // The store is rolled back to the second revision, and an operator makes other changes on top of it.
    fleet.storeHead = fleet.history.add(second, 1);
    fleet.network.runFor(seconds(5));
    fleet.storeHead = fleet.history.add(fleet.storeHead, 1);
    fleet.network.runFor(seconds(5));
    CHECK(fleet.countNodesAt(third) == 40);
    CHECK(totalRefusals(fleet, result_code::ConfigurationForked) > 0);
    CHECK_FALSE(hasRolledBack(fleet));
    for (auto& [key, fleetNode] : fleet.runningNodes)
        CHECK(fleetNode->node.isReady());

    // A new node queries its peers before the store, so it does not load the forked history.
    fleet.kill({ 20 });
    fleet.start({ 20 }, 9'000'000'000, {});
    fleet.network.runFor(seconds(10));
    CHECK(fleet.countNodesAt(third) == 40);
}

TEST_CASE("a peer with a forked history is refused and reported once, and later changes still spread")
{
    auto fleet = fake_network_fleet({});
    fleet.network.runFor(seconds(5));
    auto second = fleet.publish();
    fleet.network.runFor(seconds(5));
    auto fork = fleet.history.add(fleet.history.add(fleet.firstRevision, 1), 1);
    fleet.kill({ 15 });
    fleet.start({ 15 }, 9'000'000'000, fork);
    fleet.network.runFor(minutes(2));
    CHECK(fleet.countNodesAt(second) == 39);
    // Nodes that receive the fork report it, each at most once.
    CHECK(totalRefusals(fleet, result_code::ConfigurationForked) > 0);
    for (auto& [key, fleetNode] : fleet.runningNodes)
        CHECK(fleetNode->refusals.size() <= 1);
    auto third = fleet.publish();
    fleet.network.runFor(seconds(5));
    CHECK(fleet.countNodesAt(third) == 39);
}

TEST_CASE("a partitioned region without a store gets the change from the other region after the partition ends")
{
    auto fleet = fake_network_fleet({});
    fleet.network.runFor(seconds(5));
    fleet.network.setLinks([&](node_key from, node_key to) {
        return fleet.distance(from, to) == peer_distance::OtherRegion ? blocked() : fake_network::link_quality {};
    });
    // The fake store is reachable from both regions, so it is turned off and the revision is adopted by one node of the first region.
    fleet.storeAvailable = false;
    auto revision = fleet.publish();
    CHECK(fleet.runningNodes[{ 1 }]->source.adopt(revision));
    fleet.runningNodes[{ 1 }]->node.announceRevision(fleet.network.now());
    fleet.network.runFor(minutes(3));
    CHECK(fleet.countNodesAt(revision) == 20);
    fleet.network.setLinks(fleet.defaultLinks());
    fleet.network.runFor(seconds(40));
    CHECK(fleet.countNodesAt(revision) == 40);
}

TEST_CASE("an interrupted transfer resumes with another peer at the first missing part")
{
    auto settings = fake_network_fleet::settings {};
    settings.startsConfigured = false;
    auto fleet = fake_network_fleet(settings);
    fleet.history.fullTransferParts = 100;
    fleet.network.runFor(seconds(10));
    fleet.storeAvailable = false;
    CHECK(fleet.countNodesAt(fleet.firstRevision) == 40);
    fleet.kill({ 30 });
    fleet.start({ 30 }, 9'000'000'000, {});
    // The first two seeds die in the middle of the transfer, which slow links make long enough.
    auto slow = fake_network::link_quality { milliseconds(50), 0 };
    fleet.network.setLinks([&](node_key from, node_key to) { return from.value == 30 || to.value == 30 ? slow : fake_network::link_quality {}; });
    fleet.network.runFor(milliseconds(1700));
    for (auto seed = uint64_t { 1 }; seed <= 2; ++seed)
        fleet.kill({ seed });
    fleet.network.runFor(seconds(30));
    auto& counts = fleet.runningNodes[{ 30 }]->node.replicator().counts();
    CHECK(fleet.runningNodes[{ 30 }]->source.current() == fleet.firstRevision);
    CHECK(counts.adopted == 1);
    // An uninterrupted transfer takes 13 requests of 8 parts. Resuming costs one more, restarting would cost many.
    CHECK(counts.requests <= 16);
}

TEST_CASE("a node resumed after a pause is not ready until a peer has confirmed or replaced its configuration")
{
    auto fleet = fake_network_fleet({});
    fleet.network.runFor(seconds(10));
    auto& fleetNode = *fleet.runningNodes[{ 12 }];
    CHECK(fleetNode.node.isReady());
    fleet.network.pause({ 12 });
    fleet.network.runFor(seconds(5));
    auto revision = fleet.publish();
    fleet.network.runFor(seconds(60));
    fleet.network.resume({ 12 });
    fleetNode.node.tick(fleet.network.now());
    CHECK_FALSE(fleetNode.node.isReady());
    auto readyWithOld = false;
    for (auto step = 0; step < 100; ++step) {
        fleet.network.runFor(milliseconds(50));
        readyWithOld = readyWithOld || (fleetNode.node.isReady() && fleetNode.source.current() != revision);
    }
    CHECK_FALSE(readyWithOld);
    CHECK(fleetNode.node.isReady());
}

} // namespace gypsumhub
