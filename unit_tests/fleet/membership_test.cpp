#include "unit_tests/fleet/membership_fleet.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    constexpr auto blocked = fake_network::link_quality { milliseconds(1), 1 };
    constexpr auto intact = fake_network::link_quality { milliseconds(1), 0 };

    // Deaths declared by all running nodes together.
    auto totalDeaths(membership_fleet& fleet) -> uint64_t
    {
        auto total = uint64_t { 0 };
        for (auto& [key, end] : fleet.ends)
            total += end ? end->view.counts().deaths : 0;
        return total;
    }

    // Blocks links in one direction for ten minutes and returns the number of deaths declared.
    auto deathsWithAsymmetricPartition(const membership_settings& settings) -> uint64_t
    {
        auto fleet = membership_fleet(4, 10, settings);
        fleet.network.setLinks([](node_key from, node_key to) {
            // Node 1 cannot send to the other three data centres, but receives from all nodes.
            return from.value == 1 && to.value > 10 ? blocked : intact;
        });
        fleet.network.runFor(minutes(10));
        return totalDeaths(fleet);
    }

} // namespace

TEST_CASE("all nodes detect a dead node within 10 s")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.runFor(seconds(10));
    CHECK(fleet.countSeeingAlive({ 7 }) == 39);
    fleet.kill({ 7 });
    fleet.network.runFor(seconds(10));
    CHECK(fleet.countSeeingAlive({ 7 }) == 0);
    CHECK(fleet.countSeeingAlive({ 8 }) == 38);
}

TEST_CASE("with 5% message loss no node is declared dead in an hour")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.setLinks([](node_key, node_key) { return fake_network::link_quality { milliseconds(5), 0.05 }; });
    fleet.network.runFor(minutes(60));
    CHECK(totalDeaths(fleet) == 0);
}

TEST_CASE("with an asymmetric partition no node is declared dead, unless indirect probes are off")
{
    CHECK(deathsWithAsymmetricPartition({}) == 0);
    auto withoutHelpers = membership_settings {};
    withoutHelpers.helpers = 0;
    CHECK(deathsWithAsymmetricPartition(withoutHelpers) > 0);
}

TEST_CASE("a node that receives nothing becomes isolated, declares no other dead and rejoins afterwards")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.runFor(seconds(10));
    fleet.network.setLinks([](node_key, node_key to) { return to.value == 1 ? blocked : intact; });
    fleet.network.runFor(seconds(40));
    // Node 1 is isolated; the others have removed it, because it does not answer, and see each other alive without flapping.
    CHECK(fleet.view({ 1 }).isIsolated());
    CHECK(fleet.view({ 1 }).alive() == std::vector<node_key> { { 1 } });
    CHECK(fleet.countSeeingAlive({ 1 }) == 0);
    for (auto key = uint64_t { 2 }; key <= 40; ++key)
        CHECK(fleet.countSeeingAlive({ key }, [](node_key observer) { return observer.value != 1; }) == 38);

    fleet.network.setLinks([](node_key, node_key) { return intact; });
    fleet.network.runFor(seconds(30));
    CHECK(fleet.countSeeingAlive({ 1 }) == 39);
    CHECK(fleet.view({ 1 }).alive().size() == 40);
}

TEST_CASE("a node replaced under its name is distinguished from its predecessor and is alive again at once")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.runFor(seconds(10));
    fleet.kill({ 5 });
    fleet.network.runFor(seconds(10));
    CHECK(fleet.countSeeingAlive({ 5 }) == 0);
    fleet.start({ 5 }, 20'000'000'000);
    fleet.network.runFor(seconds(4));
    CHECK(fleet.countSeeingAlive({ 5 }) == 39);

    // Replaced so quickly that no probe failed: only the incarnation shows the replacement.
    fleet.start({ 5 }, 40'000'000'000);
    fleet.network.runFor(seconds(4));
    auto notified = std::ranges::count_if(
        fleet.ends, [](auto& entry) { return std::ranges::count(entry.second->replaced, node_key { 5 }) > 0; });
    CHECK(notified >= 38);
}

TEST_CASE("a partitioned node rejoins, and stays dead if it does not refute its death")
{
    auto withoutRefutation = membership_settings {};
    withoutRefutation.refutes = false;
    for (auto refutes : { true, false }) {
        auto fleet = membership_fleet(2, 5, refutes ? membership_settings {} : withoutRefutation);
        fleet.network.runFor(seconds(5));
        fleet.network.setLinks([](node_key from, node_key to) { return from.value == 1 || to.value == 1 ? blocked : intact; });
        fleet.network.runFor(seconds(30));
        CHECK(fleet.countSeeingAlive({ 1 }) == 0);
        fleet.network.setLinks([](node_key, node_key) { return intact; });
        fleet.network.runFor(seconds(60));
        CHECK(fleet.countSeeingAlive({ 1 }) == (refutes ? 9 : 0));
    }
}

TEST_CASE("a node that announces its shutdown leaves the alive lists of the others within 2 s")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.runFor(seconds(10));
    fleet.view({ 3 }).announceShutdown(fleet.network.now());
    CHECK_FALSE(fleet.view({ 3 }).isReady());
    fleet.network.runFor(seconds(2));
    CHECK(fleet.countSeeingAlive({ 3 }) == 0);
}

TEST_CASE("a node resumed after a pause is not ready until a peer has answered, and declares no other dead")
{
    for (auto detectsPause : { true, false }) {
        auto settings = membership_settings {};
        if (!detectsPause)
            settings.maxTickGap = minutes(1000);
        auto fleet = membership_fleet(4, 10, settings);
        fleet.network.runFor(seconds(10));
        CHECK(fleet.view({ 9 }).isReady());
        fleet.network.pause({ 9 });
        fleet.network.runFor(seconds(60));
        CHECK(fleet.countSeeingAlive({ 9 }) == 0);
        // Messages to the node are dropped, to check that the tick alone detects the pause.
        fleet.network.setLinks([](node_key, node_key to) { return to.value == 9 ? blocked : intact; });
        fleet.network.resume({ 9 });
        fleet.view({ 9 }).tick(fleet.network.now());
        CHECK(fleet.view({ 9 }).isReady() == !detectsPause);
        fleet.network.setLinks([](node_key, node_key) { return intact; });
        fleet.network.runFor(seconds(15));
        CHECK(fleet.view({ 9 }).isReady());
        CHECK(fleet.countSeeingAlive({ 9 }) == 39);
        CHECK(fleet.view({ 9 }).counts().pauses == (detectsPause ? 1 : 0));
    }
}

TEST_CASE("the other data centres detect the outage of a whole data centre and its replacement")
{
    auto fleet = membership_fleet(4, 25);
    auto inFirst = [&](node_key key) { return fleet.dataCentreOf(key) == 0; };
    fleet.network.runFor(seconds(10));
    for (auto key = uint64_t { 1 }; key <= 25; ++key)
        fleet.kill({ key });
    fleet.network.runFor(seconds(40));
    for (auto key = uint64_t { 1 }; key <= 25; ++key)
        CHECK(fleet.countSeeingAlive({ key }) == 0);
    CHECK(fleet.countSeeingAlive({ 26 }) == 74);

    for (auto key = uint64_t { 1 }; key <= 25; ++key)
        fleet.start({ key }, 90'000'000'000);
    fleet.network.runFor(seconds(30));
    for (auto key = uint64_t { 1 }; key <= 25; ++key)
        CHECK(fleet.countSeeingAlive({ key }, [&](node_key observer) { return !inFirst(observer); }) == 75);
}

TEST_CASE("regions partitioned for minutes rejoin afterwards, but do not without probes of dead nodes")
{
    for (auto probesDead : { true, false }) {
        auto settings = membership_settings {};
        if (!probesDead)
            settings.deadProbePeriod = 0;
        auto fleet = membership_fleet(4, 10, settings);
        fleet.network.runFor(seconds(10));
        fleet.network.setLinks(
            [&](node_key from, node_key to) { return fleet.regionOf(from) == fleet.regionOf(to) ? intact : blocked; });
        fleet.network.runFor(minutes(5));
        CHECK(fleet.countSeeingAlive({ 1 }) == 19);
        CHECK(fleet.view({ 1 }).isReady());
        fleet.network.setLinks([](node_key, node_key) { return intact; });
        fleet.network.runFor(seconds(60));
        CHECK((fleet.countSeeingAlive({ 1 }) == 39) == probesDead);
    }
}

TEST_CASE("the exchange of digests repairs a membership claim that one node missed")
{
    auto fleet = membership_fleet(2, 5);
    fleet.network.runFor(seconds(5));
    fleet.view({ 2 }).handle({ 3 }, membership_message { { { { 4 }, 1'000'000'000, member_state::Stopping } } }, fleet.network.now());
    auto& updated = fleet.view({ 2 });
    auto& outdated = fleet.view({ 6 });
    CHECK(updated.hashOfUnavailable() != outdated.hashOfUnavailable());
    updated.handle({ 6 }, digest_message { {}, outdated.hashOfUnavailable() }, fleet.network.now());
    fleet.network.runFor(milliseconds(50));
    CHECK(updated.hashOfUnavailable() == outdated.hashOfUnavailable());
}

TEST_CASE("a fleet of two detects a dead node without helpers, and a single node is ready at once")
{
    auto pair = membership_fleet(1, 2);
    pair.network.runFor(seconds(5));
    pair.kill({ 2 });
    pair.network.runFor(seconds(10));
    CHECK(pair.countSeeingAlive({ 2 }) == 0);
    CHECK(pair.view({ 1 }).isReady());
    auto single = membership_fleet(1, 1);
    CHECK(single.view({ 1 }).isReady());
}

} // namespace gypsumhub
