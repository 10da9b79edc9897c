#include "fakes/fake_network_fleet.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    auto hasSteppedBack(const fake_network_fleet& fleet) -> bool
    {
        return std::ranges::any_of(fleet.ends, [](auto& entry) { return entry.second && entry.second->source.revisionRegressions() != 0; });
    }

    auto blocked() -> fake_network::link_quality
    {
        return { milliseconds(1), 1 };
    }

    auto totalRefusals(const fake_network_fleet& fleet, result_code code) -> std::size_t
    {
        auto total = std::size_t { 0 };
        for (auto& [key, end] : fleet.ends)
            total += end ? static_cast<std::size_t>(std::ranges::count(end->refusals, code)) : 0;
        return total;
    }

} // namespace

TEST_CASE("a change is in force on 40 nodes within 5 s, with loss, and the store hears from the readers alone")
{
    auto wanted = fake_network_fleet::settings {};
    wanted.loss = 0.05;
    auto fleet = fake_network_fleet(wanted);
    fleet.network.runFor(seconds(30));
    auto callsBefore = fleet.storeCalls;
    for (auto change = 0; change < 20; ++change) {
        auto publishedAt = fleet.network.now();
        auto revision = fleet.publish();
        auto inForce = fleet.runUntilAllAt(revision, publishedAt + seconds(5));
        CHECK(inForce != never);
        fleet.network.runUntil(publishedAt + seconds(20));
    }
    // Two readers in each of four data centres: a watch, a read after it, and one read a change.
    CHECK(fleet.storeCalls - callsBefore <= 8 * (2 * 21 + 20));
    CHECK_FALSE(hasSteppedBack(fleet));
}

TEST_CASE("lost news is healed by the exchange of digests, and is not without it")
{
    for (auto heals : { true, false }) {
        auto wanted = fake_network_fleet::settings {};
        wanted.replicator.exchangesDigests = heals;
        auto fleet = fake_network_fleet(wanted);
        fleet.network.runFor(seconds(10));
        // Node 7 is deaf just when the news is told.
        fleet.network.setLinks([](node_key, node_key to) { return to.value == 7 ? blocked() : fake_network::link_quality {}; });
        auto revision = fleet.publish();
        fleet.network.runFor(seconds(1));
        CHECK(fleet.countNodesAt(revision) == 39);
        fleet.network.setLinks(fleet.defaultLinks());
        fleet.network.runFor(seconds(15));
        CHECK(fleet.countNodesAt(revision) == (heals ? 40 : 39));
    }
}

TEST_CASE("a node that starts while the store is down learns the highest revision from its peers")
{
    auto fleet = fake_network_fleet({});
    fleet.network.runFor(seconds(10));
    auto revision = fleet.publish();
    fleet.network.runFor(seconds(5));
    fleet.storeAvailable = false;
    // One of the seeds lags behind.
    fleet.kill({ 2 });
    fleet.start({ 2 }, 5'000'000'000, fleet.firstRevision);
    fleet.kill({ 33 });
    fleet.start({ 33 }, 5'000'000'000, {});
    CHECK_FALSE(fleet.ends[{ 33 }]->node.isReady());
    fleet.network.runFor(seconds(5));
    CHECK(fleet.countNodesAt(revision) == 40);
    CHECK(fleet.ends[{ 33 }]->node.isReady());
}

TEST_CASE("a node without any peer or store says that it is not ready")
{
    auto wanted = fake_network_fleet::settings {};
    wanted.startsConfigured = false;
    auto fleet = fake_network_fleet(wanted);
    fleet.storeAvailable = false;
    fleet.network.runFor(seconds(30));
    for (auto& [key, end] : fleet.ends)
        CHECK_FALSE(end->node.isReady());
    fleet.storeAvailable = true;
    fleet.network.runFor(seconds(10));
    CHECK(fleet.countNodesAt(fleet.firstRevision) == 40);
}

TEST_CASE("a node without seeds turns to the store at once")
{
    auto wanted = fake_network_fleet::settings {};
    wanted.startsConfigured = false;
    wanted.dataCentres = 1;
    wanted.perDataCentre = 1;
    wanted.replicator.hasSeeds = false;
    auto fleet = fake_network_fleet(wanted);
    fleet.network.runFor(milliseconds(300));
    CHECK(fleet.ends[{ 1 }]->node.isReady());
}

TEST_CASE("a cold fleet does not turn to the store as a herd")
{
    auto wanted = fake_network_fleet::settings {};
    wanted.startsConfigured = false;
    wanted.dataCentres = 5;
    wanted.perDataCentre = 40;
    auto fleet = fake_network_fleet(wanted);
    fleet.network.runFor(seconds(20));
    CHECK(fleet.countNodesAt(fleet.firstRevision) == 200);
    // All two hundred reading it themselves would be four thousand calls.
    CHECK(fleet.storeCalls < 1000);
}

TEST_CASE("a store put back in time or forked is refused and reported, and no node steps back")
{
    auto fleet = fake_network_fleet({});
    fleet.network.runFor(seconds(5));
    auto second = fleet.publish();
    fleet.network.runFor(seconds(5));
    auto third = fleet.publish();
    fleet.network.runFor(seconds(5));
    CHECK(fleet.countNodesAt(third) == 40);

    // The store is put back to the second revision, and an operator makes other changes on top of it.
    fleet.storeHead = fleet.history.add(second, 1);
    fleet.network.runFor(seconds(5));
    fleet.storeHead = fleet.history.add(fleet.storeHead, 1);
    fleet.network.runFor(seconds(5));
    CHECK(fleet.countNodesAt(third) == 40);
    CHECK(totalRefusals(fleet, result_code::ConfigurationForked) > 0);
    CHECK_FALSE(hasSteppedBack(fleet));
    for (auto& [key, end] : fleet.ends)
        CHECK(end->node.isReady());

    // A fresh node asks its peers before the store, and so does not learn the wrong history.
    fleet.kill({ 20 });
    fleet.start({ 20 }, 9'000'000'000, {});
    fleet.network.runFor(seconds(10));
    CHECK(fleet.countNodesAt(third) == 40);
}

TEST_CASE("a peer with a forked history is refused, reported once and does not disturb")
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
    // Whoever meets the fork reports it, and only once.
    CHECK(totalRefusals(fleet, result_code::ConfigurationForked) > 0);
    for (auto& [key, end] : fleet.ends)
        CHECK(end->refusals.size() <= 1);
    auto third = fleet.publish();
    fleet.network.runFor(seconds(5));
    CHECK(fleet.countNodesAt(third) == 39);
}

TEST_CASE("a region that cannot reach the store hears changes from the other region, and catches up after a cut")
{
    auto fleet = fake_network_fleet({});
    fleet.network.runFor(seconds(5));
    fleet.network.setLinks([&](node_key from, node_key to) {
        return fleet.distance(from, to) == peer_distance::OtherRegion ? blocked() : fake_network::link_quality {};
    });
    // The fake store is reachable from both sides: take it away from the second region by publishing at a first-region reader.
    fleet.storeAvailable = false;
    auto revision = fleet.publish();
    CHECK(fleet.ends[{ 1 }]->source.adopt(revision));
    fleet.ends[{ 1 }]->node.announceRevision(fleet.network.now());
    fleet.network.runFor(minutes(3));
    CHECK(fleet.countNodesAt(revision) == 20);
    fleet.network.setLinks(fleet.defaultLinks());
    fleet.network.runFor(seconds(40));
    CHECK(fleet.countNodesAt(revision) == 40);
}

TEST_CASE("a transfer goes on with another peer where it stopped")
{
    auto wanted = fake_network_fleet::settings {};
    wanted.startsConfigured = false;
    auto fleet = fake_network_fleet(wanted);
    fleet.history.fullTransferParts = 100;
    fleet.network.runFor(seconds(10));
    fleet.storeAvailable = false;
    CHECK(fleet.countNodesAt(fleet.firstRevision) == 40);
    fleet.kill({ 30 });
    fleet.start({ 30 }, 9'000'000'000, {});
    // Seeds answer, and each falls silent after a while; slow links let that happen within the transfer.
    auto slow = fake_network::link_quality { milliseconds(50), 0 };
    fleet.network.setLinks([&](node_key from, node_key to) { return from.value == 30 || to.value == 30 ? slow : fake_network::link_quality {}; });
    fleet.network.runFor(milliseconds(1700));
    for (auto seed = uint64_t { 1 }; seed <= 2; ++seed)
        fleet.kill({ seed });
    fleet.network.runFor(seconds(30));
    auto& counts = fleet.ends[{ 30 }]->node.replicator().counts();
    CHECK(fleet.ends[{ 30 }]->source.current() == fleet.firstRevision);
    CHECK(counts.adopted == 1);
    // 13 requests of 8 parts without a break; resuming costs one more, starting over would cost many.
    CHECK(counts.requests <= 16);
}

TEST_CASE("a resumed node does not act on its old configuration before a peer has confirmed or replaced it")
{
    auto fleet = fake_network_fleet({});
    fleet.network.runFor(seconds(10));
    auto& end = *fleet.ends[{ 12 }];
    CHECK(end.node.isReady());
    fleet.network.pause({ 12 });
    fleet.network.runFor(seconds(5));
    auto revision = fleet.publish();
    fleet.network.runFor(seconds(60));
    fleet.network.resume({ 12 });
    end.node.tick(fleet.network.now());
    CHECK_FALSE(end.node.isReady());
    auto readyWithOld = false;
    for (auto step = 0; step < 100; ++step) {
        fleet.network.runFor(milliseconds(50));
        readyWithOld = readyWithOld || (end.node.isReady() && end.source.current() != revision);
    }
    CHECK_FALSE(readyWithOld);
    CHECK(end.node.isReady());
}

} // namespace gypsumhub
