#include "gypsumhub/decision/selection/node_roster.h"

#include <doctest/doctest.h>

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
    auto group = first.group("host", "a1", 2, at(100));
    CHECK(group == second.group("host", "a1", 2, at(100)));
    REQUIRE(group.size() == 2);
    auto gone = group.front().address;
    auto leaving = makeHello(gone);
    leaving.isLeaving = true;
    if (gone == "n1")
        first.setOwn(true, true);
    else
        first.noteHello(leaving, at(200));
    auto after = first.group("host", "a1", 3, at(200));
    CHECK(after.size() == 2);
    CHECK(std::ranges::find(after, gone, &endpoint::address) == after.end());
    CHECK(first.group("host", "a1", 3, at(5'000)).size() <= 1);
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

TEST_CASE("a node whose lease ended stays as long as it is heard")
{
    auto roster = makeRoster("n1");
    roster.noteUnregistered("n2", at(500));
    CHECK(roster.group("host", "a1", 3, at(500)).size() == 3);
    roster.noteUnregistered("n2", at(5'000));
    CHECK(roster.peers().size() == 1);
}

TEST_CASE("a data centre without a living node is served by the others")
{
    auto roster = makeRoster("n1");
    CHECK_FALSE(roster.group("host", "b1", 3, at(100)).empty());
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
