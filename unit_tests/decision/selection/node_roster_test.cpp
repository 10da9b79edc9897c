#include "gypsumhub/decision/selection/node_roster.h"

#include "gypsumhub/decision/selection/reading_pace.h"

#include <doctest/doctest.h>
#include <map>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

auto makeNode(const std::string& name, const std::string& dataCentre = "a1") -> node_registration
{
    return { name, dataCentre, { name, 80 }, { name, 90 } };
}

auto makeHello(const std::string& name) -> node_hello
{
    auto hello = node_hello {};
    hello.name = name;
    hello.isReady = true;
    return hello;
}

auto makeRoster(const std::string& own) -> node_roster
{
    auto roster = node_roster(makeNode(own));
    roster.setOwn(true, false);
    for (auto name : { "n1", "n2", "n3" }) {
        roster.noteRegistered(makeNode(name));
        if (name != own)
            roster.noteHello(makeHello(name), at(0));
    }
    return roster;
}

} // namespace

TEST_CASE("nodes that hear each other answer alike, and leave out one that leaves or falls silent")
{
    auto first = makeRoster("n1"), second = makeRoster("n2");
    auto group = first.group("host", "a1", { 2, {} }, at(100));
    CHECK(group == second.group("host", "a1", { 2, {} }, at(100)));
    REQUIRE(group.size() == 2);
    auto gone = group.front().address;
    auto leaving = makeHello(gone);
    leaving.isLeaving = true;
    if (gone == "n1")
        first.setOwn(true, true);
    else
        first.noteHello(leaving, at(200));
    auto after = first.group("host", "a1", { 3, {} }, at(200));
    CHECK(after.size() == 2);
    CHECK(std::ranges::find(after, gone, &endpoint::address) == after.end());
    CHECK(first.group("host", "a1", { 3, {} }, at(5'000)).size() <= 1);
}

TEST_CASE("callers of a host go to a node whose link can carry them; without one, to several small nodes")
{
    // 250 requests a second of 9 KB need 18 Mbit/s each way; one of these small nodes has 10.
    auto small = node_size { 0.1, 10 }, large = node_size { 0.5, 200 };
    auto goal = group_goal { 1, { 0.2, 40 } };
    auto roster = makeRoster("n1");
    for (auto name : { "n2", "n3", "n4", "n5", "n6" }) {
        auto node = makeNode(name);
        node.size = name == std::string_view("n5") ? large : small;
        roster.noteRegistered(node);
        roster.noteHello(makeHello(name), at(0));
    }
    for (auto host : { "a.example", "b.example", "c.example", "d.example" }) {
        auto group = roster.group(host, "a1", goal, at(100));
        REQUIRE(group.size() == 1);
        CHECK(group.front().address == "n5");
    }
    auto leaving = makeHello("n5");
    leaving.isLeaving = true;
    roster.noteHello(leaving, at(200));
    // The own node's size is unknown and adds nothing.
    auto group = roster.group("a.example", "a1", goal, at(200));
    CHECK(group.size() - static_cast<size_t>(std::ranges::count(group, "n1", &endpoint::address)) == 4);
}

TEST_CASE("one node of a data centre reads the registrations; the next takes over when its view grows old")
{
    auto first = makeRoster("n1"), second = makeRoster("n2"), third = makeRoster("n3");
    CHECK(first.isReader(at(100)));
    CHECK_FALSE(second.isReader(at(100)));
    CHECK_FALSE(third.isReader(at(100)));
    auto old = makeHello("n1");
    old.viewAge = seconds(2);
    second.noteHello(old, at(400));
    CHECK(second.isReader(at(400)));
    // The third one watches the configuration when the store turns the first two away.
    CHECK_FALSE(third.watchesConfiguration(at(400)));
    third.noteHello(old, at(400));
    old.name = "n2";
    third.noteHello(old, at(400));
    CHECK(third.watchesConfiguration(at(400)));
}

TEST_CASE("a reader keeps its role while no target changes, so that its watches end late")
{
    auto second = makeRoster("n2"), third = makeRoster("n3");
    auto quiet = makeHello("n1");
    quiet.viewAge = reading_pace::oldestView;
    for (auto* roster : { &second, &third })
        roster->noteHello(quiet, at(400));
    CHECK_FALSE(second.isReader(at(800)));
    CHECK_FALSE(third.isReader(at(800)));
    CHECK_FALSE(third.watchesConfiguration(at(800)));
}

TEST_CASE("a data centre that starts at once: one node reads the store, the others ask each other along a tree")
{
    constexpr auto nodes = 25;
    auto nameOf = [](int index) { return "n" + std::to_string(100 + index); };
    auto asked = std::map<std::string, int> {};
    auto readers = 0;
    for (auto own = 0; own < nodes; ++own) {
        auto roster = node_roster(makeNode(nameOf(own)));
        roster.noteStart(at(0));
        for (auto other = 0; other < nodes; ++other)
            roster.noteRegistered(makeNode(nameOf(other)));
        roster.noteRegistered(makeNode("b100", "b1"));
        auto sources = roster.startSources();
        CHECK(sources.size() <= 3);
        if (!sources.empty())
            ++asked[sources.front()];
        readers += roster.isReader(at(1'900)) ? 1 : 0;
        // Hellos that never came make it read itself.
        CHECK(roster.isReader(at(2'100)));
        CHECK(roster.watchesConfiguration(at(1'900)) == (own < 2));
    }
    CHECK(readers == 1);
    for (auto& [name, children] : asked)
        CHECK(children <= 3);
    CHECK(asked.contains(nameOf(0)));
}

TEST_CASE("at a start the nodes with large links tell the others, since a large configuration takes a small link long")
{
    constexpr auto nodes = 27;
    auto nodeOf = [](int index) {
        auto node = makeNode("n" + std::to_string(100 + index));
        node.size = index >= 25 ? node_size { 0.5, 200 } : node_size { 0.1, 10 };
        return node;
    };
    for (auto own = 0; own < nodes; ++own) {
        auto roster = node_roster(nodeOf(own));
        for (auto other = 0; other < nodes; ++other)
            roster.noteRegistered(nodeOf(other));
        auto sources = roster.startSources();
        CHECK(sources.size() <= 2);
        CHECK(sources.empty() == (own == 25));
        for (auto& source : sources)
            CHECK((source == "n125" || source == "n126"));
    }
}

TEST_CASE("a node whose lease ended stays as long as it is heard")
{
    auto roster = makeRoster("n1");
    roster.noteUnregistered("n2", at(500));
    CHECK(roster.group("host", "a1", { 3, {} }, at(500)).size() == 3);
    roster.noteUnregistered("n2", at(5'000));
    CHECK(roster.peers().size() == 1);
}

TEST_CASE("a data centre without a living node is served by the others")
{
    auto roster = makeRoster("n1");
    CHECK_FALSE(roster.group("host", "b1", { 3, {} }, at(100)).empty());
}

TEST_CASE("the first node of a distant data centre learns from a node near the store, the others from the first")
{
    auto far = makeNode("n4", "b1");
    far.storeDelay = milliseconds(52);
    auto roster = node_roster(far);
    roster.setOwn(true, false);
    auto near = makeNode("n1", "a1");
    near.storeDelay = milliseconds(5);
    roster.noteRegistered(near);
    CHECK(roster.isReader(at(0)));
    // It says hello to the one near the store, which answers with its own.
    REQUIRE(roster.audience(at(0)).size() == 1);
    roster.noteHello(makeHello("n1"), at(100));
    CHECK(roster.isFedFromAfar(at(100)));
    CHECK_FALSE(roster.watchesConfiguration(at(100)));
    auto first = makeNode("n3", "b1");
    first.storeDelay = milliseconds(52);
    roster.noteRegistered(first);
    roster.noteHello(makeHello("n3"), at(200));
    CHECK(roster.reader(at(200))->name == "n3");
    CHECK_FALSE(roster.isFedFromAfar(at(200)));
    // Both fall silent: this node reads the store itself.
    CHECK(roster.isReader(at(5'000)));
    CHECK(roster.watchesConfiguration(at(5'000)));
}
