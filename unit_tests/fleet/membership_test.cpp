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

    // Keeps links cut in one direction for ten minutes and returns how often somebody was declared dead.
    auto deathsUnderAsymmetricCut(const membership_settings& settings) -> uint64_t
    {
        auto fleet = membership_fleet(4, 10, settings);
        fleet.network.setLinks([](node_key from, node_key to) {
            // Node 1 cannot send to the whole other half; it hears them all.
            return from.value == 1 && to.value > 10 ? blocked : intact;
        });
        fleet.network.runFor(minutes(10));
        return totalDeaths(fleet);
    }

} // namespace

TEST_CASE("a dead node is noticed by everybody within seconds")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.runFor(seconds(10));
    CHECK(fleet.believers({ 7 }) == 39);
    fleet.kill({ 7 });
    fleet.network.runFor(seconds(10));
    CHECK(fleet.believers({ 7 }) == 0);
    CHECK(fleet.believers({ 8 }) == 38);
}

TEST_CASE("loss of one message in twenty declares nobody dead in an hour")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.setLinks([](node_key, node_key) { return fake_network::link_quality { milliseconds(5), 0.05 }; });
    fleet.network.runFor(minutes(60));
    CHECK(totalDeaths(fleet) == 0);
}

TEST_CASE("an asymmetric cut declares nobody dead, and does without indirect checks")
{
    CHECK(deathsUnderAsymmetricCut({}) == 0);
    auto withoutHelpers = membership_settings {};
    withoutHelpers.helpers = 0;
    CHECK(deathsUnderAsymmetricCut(withoutHelpers) > 0);
}

TEST_CASE("a node that hears nobody accuses nobody and serves alone, then joins again")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.runFor(seconds(10));
    fleet.network.setLinks([](node_key, node_key to) { return to.value == 1 ? blocked : intact; });
    fleet.network.runFor(seconds(40));
    // The deaf node knows that it is; the others dropped it once, because nothing reaches it, and did not flap.
    CHECK(fleet.view({ 1 }).isIsolated());
    CHECK(fleet.view({ 1 }).alive() == std::vector<node_key> { { 1 } });
    CHECK(fleet.believers({ 1 }) == 0);
    for (auto key = uint64_t { 2 }; key <= 40; ++key)
        CHECK(fleet.believers({ key }, [](node_key who) { return who.value != 1; }) == 38);

    fleet.network.setLinks([](node_key, node_key) { return intact; });
    fleet.network.runFor(seconds(30));
    CHECK(fleet.believers({ 1 }) == 39);
    CHECK(fleet.view({ 1 }).alive().size() == 40);
}

TEST_CASE("a node replaced under its name is told apart from its predecessor, and comes back at once")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.runFor(seconds(10));
    fleet.kill({ 5 });
    fleet.network.runFor(seconds(10));
    CHECK(fleet.believers({ 5 }) == 0);
    fleet.start({ 5 }, 20'000'000'000);
    fleet.network.runFor(seconds(4));
    CHECK(fleet.believers({ 5 }) == 39);

    // Replaced within a second, so that nobody missed it: the news is the incarnation.
    fleet.start({ 5 }, 40'000'000'000);
    fleet.network.runFor(seconds(4));
    auto informed = std::ranges::count_if(
        fleet.ends, [](auto& entry) { return std::ranges::count(entry.second->replaced, node_key { 5 }) > 0; });
    CHECK(informed >= 38);
}

TEST_CASE("a node that was cut off comes back, and stays out for good when it does not refute its death")
{
    auto withoutRefutation = membership_settings {};
    withoutRefutation.refutes = false;
    for (auto refutes : { true, false }) {
        auto fleet = membership_fleet(2, 5, refutes ? membership_settings {} : withoutRefutation);
        fleet.network.runFor(seconds(5));
        fleet.network.setLinks([](node_key from, node_key to) { return from.value == 1 || to.value == 1 ? blocked : intact; });
        fleet.network.runFor(seconds(30));
        CHECK(fleet.believers({ 1 }) == 0);
        fleet.network.setLinks([](node_key, node_key) { return intact; });
        fleet.network.runFor(seconds(60));
        CHECK(fleet.believers({ 1 }) == (refutes ? 9 : 0));
    }
}

TEST_CASE("a stopping node leaves the answers at once")
{
    auto fleet = membership_fleet(4, 10);
    fleet.network.runFor(seconds(10));
    fleet.view({ 3 }).announceShutdown(fleet.network.now());
    CHECK_FALSE(fleet.view({ 3 }).isReady());
    fleet.network.runFor(seconds(2));
    CHECK(fleet.believers({ 3 }) == 0);
}

TEST_CASE("a paused and resumed node is not ready until it has heard from a peer, and accuses nobody")
{
    for (auto notices : { true, false }) {
        auto settings = membership_settings {};
        if (!notices)
            settings.maxTickGap = minutes(1000);
        auto fleet = membership_fleet(4, 10, settings);
        fleet.network.runFor(seconds(10));
        CHECK(fleet.view({ 9 }).isReady());
        fleet.network.pause({ 9 });
        fleet.network.runFor(seconds(60));
        CHECK(fleet.believers({ 9 }) == 0);
        // What lies in its sockets is older than the pause: keep it out, to see that the tick alone notices.
        fleet.network.setLinks([](node_key, node_key to) { return to.value == 9 ? blocked : intact; });
        fleet.network.resume({ 9 });
        fleet.view({ 9 }).tick(fleet.network.now());
        CHECK(fleet.view({ 9 }).isReady() == !notices);
        fleet.network.setLinks([](node_key, node_key) { return intact; });
        fleet.network.runFor(seconds(15));
        CHECK(fleet.view({ 9 }).isReady());
        CHECK(fleet.believers({ 9 }) == 39);
        CHECK(fleet.view({ 9 }).counts().pauses == (notices ? 1 : 0));
    }
}

TEST_CASE("a data centre lost at once is noticed by the others, replaced at once it is back")
{
    auto fleet = membership_fleet(4, 25);
    auto inFirst = [&](node_key key) { return fleet.dataCentreOf(key) == 0; };
    fleet.network.runFor(seconds(10));
    for (auto key = uint64_t { 1 }; key <= 25; ++key)
        fleet.kill({ key });
    fleet.network.runFor(seconds(40));
    for (auto key = uint64_t { 1 }; key <= 25; ++key)
        CHECK(fleet.believers({ key }) == 0);
    CHECK(fleet.believers({ 26 }) == 74);

    for (auto key = uint64_t { 1 }; key <= 25; ++key)
        fleet.start({ key }, 90'000'000'000);
    fleet.network.runFor(seconds(30));
    for (auto key = uint64_t { 1 }; key <= 25; ++key)
        CHECK(fleet.believers({ key }, [&](node_key who) { return !inFirst(who); }) == 75);
}

TEST_CASE("regions parted for minutes know each other again after the rejoin, and do not without probes of the dead")
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
        CHECK(fleet.believers({ 1 }) == 19);
        CHECK(fleet.view({ 1 }).isReady());
        fleet.network.setLinks([](node_key, node_key) { return intact; });
        fleet.network.runFor(seconds(60));
        CHECK((fleet.believers({ 1 }) == 39) == probesDead);
    }
}

TEST_CASE("what one node missed is healed by the exchange of digests")
{
    auto fleet = membership_fleet(2, 5);
    fleet.network.runFor(seconds(5));
    fleet.view({ 2 }).handle({ 3 }, membership_message { { { { 4 }, 1'000'000'000, member_state::Stopping } } }, fleet.network.now());
    auto& informed = fleet.view({ 2 });
    auto& uninformed = fleet.view({ 6 });
    CHECK(informed.hashOfAbsent() != uninformed.hashOfAbsent());
    informed.handle({ 6 }, digest_message { {}, uninformed.hashOfAbsent() }, fleet.network.now());
    fleet.network.runFor(milliseconds(50));
    CHECK(informed.hashOfAbsent() == uninformed.hashOfAbsent());
}

TEST_CASE("two nodes alone judge each other, a single one is ready at once")
{
    auto pair = membership_fleet(1, 2);
    pair.network.runFor(seconds(5));
    pair.kill({ 2 });
    pair.network.runFor(seconds(10));
    CHECK(pair.believers({ 2 }) == 0);
    CHECK(pair.view({ 1 }).isReady());
    auto single = membership_fleet(1, 1);
    CHECK(single.view({ 1 }).isReady());
}

} // namespace gypsumhub
