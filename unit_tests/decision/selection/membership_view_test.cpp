#include "gypsumhub/decision/selection/membership_view.h"

#include "gypsumhub/decision/selection/watch_timing.h"
#include "unit_tests/decision/selection/member_nodes.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace gypsumhub;

namespace {

auto makeView(const std::string& own) -> membership_view
{
    auto memberView = membership_view(makeNode(own));
    memberView.setOwnState(true, false);
    for (auto name : { "n1", "n2", "n3" }) {
        memberView.recordRegistration(makeNode(name));
        if (name != own)
            memberView.recordHello(makeHello(name), at(0));
    }
    return memberView;
}

} // namespace

TEST_CASE("nodes with the same view return the same group, without nodes that are leaving or whose hellos have stopped")
{
    auto first = makeView("n1"), second = makeView("n2");
    auto group = first.group("host", "a1", { 2, {} }, at(100));
    CHECK(group == second.group("host", "a1", { 2, {} }, at(100)));
    REQUIRE(group.size() == 2);
    auto departed = group.front().address;
    auto leaving = makeHello(departed);
    leaving.isLeaving = true;
    if (departed == "n1")
        first.setOwnState(true, true);
    else
        first.recordHello(leaving, at(200));
    auto after = first.group("host", "a1", { 3, {} }, at(200));
    CHECK(after.size() == 2);
    CHECK(std::ranges::find(after, departed, &endpoint::address) == after.end());
    CHECK(first.group("host", "a1", { 3, {} }, at(5'000)).size() <= 1);
}

TEST_CASE("a group consists of one node whose link has enough capacity, or of several small nodes when there is none")
{
    // 250 requests per second of 9 KB need 18 Mbit/s each way; a small node has 10 Mbit/s.
    auto small = node_size { 0.1, 10 }, large = node_size { 0.5, 200 };
    auto goal = group_requirement { 1, { 0.2, 40 } };
    auto memberView = makeView("n1");
    for (auto name : { "n2", "n3", "n4", "n5", "n6" }) {
        auto node = makeNode(name);
        node.size = name == std::string_view("n5") ? large : small;
        memberView.recordRegistration(node);
        memberView.recordHello(makeHello(name), at(0));
    }
    for (auto host : { "a.example", "b.example", "c.example", "d.example" }) {
        auto group = memberView.group(host, "a1", goal, at(100));
        REQUIRE(group.size() == 1);
        CHECK(group.front().address == "n5");
    }
    auto leaving = makeHello("n5");
    leaving.isLeaving = true;
    memberView.recordHello(leaving, at(200));
    // The size of the own node is unknown and counts as zero.
    auto group = memberView.group("a.example", "a1", goal, at(200));
    CHECK(group.size() - static_cast<size_t>(std::ranges::count(group, "n1", &endpoint::address)) == 4);
}

TEST_CASE("one node of a data centre reads the registrations; the next one takes over when its view is stale")
{
    auto first = makeView("n1"), second = makeView("n2"), third = makeView("n3");
    CHECK(first.isReader(at(100)));
    CHECK_FALSE(second.isReader(at(100)));
    CHECK_FALSE(third.isReader(at(100)));
    auto stale = makeHello("n1");
    stale.viewAge = seconds(2);
    second.recordHello(stale, at(400));
    CHECK(second.isReader(at(400)));
    // The third node does not watch the configuration until the views of both preceding nodes are stale, as when the store
    // refuses them.
    CHECK_FALSE(third.watchesConfiguration(at(400)));
    third.recordHello(stale, at(400));
    stale.name = "n2";
    third.recordHello(stale, at(400));
    CHECK(third.watchesConfiguration(at(400)));
}

TEST_CASE("CONFIG: when the store no longer answers the watching nodes, the next ones take over one after the other, although their views are fresh")
{
    auto makeWatched = [](const std::string& name, int64_t ageMs) {
        auto hello = makeHello(name);
        hello.viewAge = milliseconds(900);
        hello.configurationAge = ageMs < 0 ? unwatchedConfigurationAge : milliseconds(ageMs);
        return hello;
    };
    auto names = std::vector<std::string> { "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8" };
    auto watchers = [&](int64_t firstAgeMs, int64_t secondAgeMs, int64_t thirdAgeMs) {
        auto watching = std::vector<std::string> {};
        for (auto& own : names) {
            auto memberView = membership_view(makeNode(own));
            for (auto& other : names) {
                memberView.recordRegistration(makeNode(other));
                auto ageMs = other == "n1" ? firstAgeMs : other == "n2" ? secondAgeMs
                    : other == "n3"                                     ? thirdAgeMs
                                                                        : -1;
                if (other != own)
                    memberView.recordHello(makeWatched(other, ageMs), at(0));
            }
            if (memberView.watchesConfiguration(at(100)))
                watching.push_back(own);
        }
        return watching;
    };
    using name_list = std::vector<std::string>;
    auto quietMs = watch_timing::maxConfigurationAge.milliseconds();
    CHECK((watchers(quietMs, 0, -1) == name_list { "n1", "n2" }));
    CHECK((watchers(quietMs, quietMs, -1) == name_list { "n1", "n2" }));
    CHECK((watchers(1'250, 300, -1) == name_list { "n1", "n2", "n3" }));
    CHECK((watchers(1'250, 1'220, -1) == name_list { "n1", "n2", "n3" }));
    // The third node has read the store; the fourth one is the second that watches it again.
    CHECK((watchers(1'390, 1'390, 50) == name_list { "n1", "n2", "n3", "n4" }));
    CHECK((watchers(1'390, 1'390, -1) == name_list { "n1", "n2", "n3", "n4" }));
    CHECK((watchers(1'700, 1'700, -1) == name_list { "n1", "n2", "n3", "n4", "n5", "n6" }));
    CHECK((watchers(1'700, 1'700, 300) == name_list { "n1", "n2", "n3", "n4", "n5", "n6" }));
}

TEST_CASE("nodes of a build that does not state the age of its configuration count by their views")
{
    auto third = makeView("n3");
    for (auto name : { "n1", "n2" }) {
        auto hello = makeHello(name);
        hello.viewAge = milliseconds(900);
        third.recordHello(hello, at(400));
    }
    CHECK_FALSE(third.watchesConfiguration(at(400)));
}

TEST_CASE("a reader keeps its role while no registration changes and each of its watches takes the full wait")
{
    auto second = makeView("n2"), third = makeView("n3");
    auto quiet = makeHello("n1");
    quiet.viewAge = watch_timing::maxViewAge;
    for (auto* memberView : { &second, &third })
        memberView->recordHello(quiet, at(400));
    CHECK_FALSE(second.isReader(at(800)));
    CHECK_FALSE(third.isReader(at(800)));
    CHECK_FALSE(third.watchesConfiguration(at(800)));
}

TEST_CASE("when all nodes of a data centre start together, one reads the store and the others list from each other along a tree")
{
    constexpr auto nodes = 25;
    auto nameOf = [](int index) { return "n" + std::to_string(100 + index); };
    auto asked = std::map<std::string, int> {};
    auto readers = 0;
    for (auto own = 0; own < nodes; ++own) {
        auto memberView = membership_view(makeNode(nameOf(own)));
        memberView.beginStartupGrace(at(0));
        for (auto other = 0; other < nodes; ++other)
            memberView.recordRegistration(makeNode(nameOf(other)));
        memberView.recordRegistration(makeNode("b100", "b1"));
        auto sources = memberView.bootstrapSources();
        CHECK(sources.size() <= 3);
        if (!sources.empty())
            ++asked[sources.front()];
        readers += memberView.isReader(at(1'900)) ? 1 : 0;
        // Without any hello it reads the store itself after the grace period.
        CHECK(memberView.isReader(at(2'100)));
        CHECK(memberView.watchesConfiguration(at(1'900)) == (own < 2));
    }
    CHECK(readers == 1);
    for (auto& [name, children] : asked)
        CHECK(children <= 3);
    CHECK(asked.contains(nameOf(0)));
}

TEST_CASE("at startup the other nodes list from those with large links, since a large configuration is slow over a small link")
{
    constexpr auto nodes = 27;
    auto nodeOf = [](int index) {
        auto node = makeNode("n" + std::to_string(100 + index));
        node.size = index >= 25 ? node_size { 0.5, 200 } : node_size { 0.1, 10 };
        return node;
    };
    for (auto own = 0; own < nodes; ++own) {
        auto memberView = membership_view(nodeOf(own));
        for (auto other = 0; other < nodes; ++other)
            memberView.recordRegistration(nodeOf(other));
        auto sources = memberView.bootstrapSources();
        CHECK(sources.size() <= 2);
        CHECK(sources.empty() == (own == 25));
        for (auto& source : sources)
            CHECK((source == "n125" || source == "n126"));
    }
}

TEST_CASE("a node whose lease has ended is kept while its hellos arrive")
{
    auto memberView = makeView("n1");
    memberView.recordUnregistration("n2", at(500));
    CHECK(memberView.group("host", "a1", { 3, {} }, at(500)).size() == 3);
    memberView.recordUnregistration("n2", at(5'000));
    CHECK(memberView.peers().size() == 1);
}

TEST_CASE("a data centre without an available node is served by the nodes of the others")
{
    auto memberView = makeView("n1");
    CHECK_FALSE(memberView.group("host", "b1", { 3, {} }, at(100)).empty());
}

TEST_CASE("the first node of a distant data centre receives changes from a node near the store, the others from the first")
{
    auto far = makeNode("n4", "b1");
    far.storeDelay = milliseconds(52);
    auto memberView = membership_view(far);
    memberView.setOwnState(true, false);
    auto near = makeNode("n1", "a1");
    near.storeDelay = milliseconds(5);
    memberView.recordRegistration(near);
    CHECK(memberView.isReader(at(0)));
    // It sends hellos to the node near the store, which then sends its own.
    REQUIRE(memberView.recipients(at(0)).size() == 1);
    memberView.recordHello(makeHello("n1"), at(100));
    CHECK(memberView.hasRemoteUpstream(at(100)));
    CHECK_FALSE(memberView.watchesConfiguration(at(100)));
    auto first = makeNode("n3", "b1");
    first.storeDelay = milliseconds(52);
    memberView.recordRegistration(first);
    memberView.recordHello(makeHello("n3"), at(200));
    CHECK(memberView.reader(at(200))->name == "n3");
    CHECK_FALSE(memberView.hasRemoteUpstream(at(200)));
    // When the hellos of both stop, this node reads the store itself.
    CHECK(memberView.isReader(at(5'000)));
    CHECK(memberView.watchesConfiguration(at(5'000)));
}

TEST_CASE("a node that lacks the newest configuration finds the active nodes of its data centre that have it")
{
    auto memberView = makeView("n1");
    memberView.recordRegistration(makeNode("m1", "b1"));
    auto tell = [&](const std::string& name, uint64_t version) {
        auto hello = makeHello(name);
        hello.configurationVersion = version;
        memberView.recordHello(hello, at(0));
    };
    tell("m1", 7);
    CHECK(memberView.configurationHolders(7, at(100)) == std::vector<std::string> { "m1" });
    tell("n2", 6);
    tell("n3", 8);
    CHECK(memberView.configurationHolders(7, at(100)) == std::vector<std::string> { "n3" });
    CHECK(memberView.configurationHolders(9, at(100)).empty());
    CHECK(memberView.configurationHolders(7, at(5'000)).empty());
}

TEST_CASE("one node of the fleet reads the store, however many data centres are near it, and another one when its hellos stop")
{
    auto nearby = [](const std::string& name, const std::string& dataCentre) {
        auto node = makeNode(name, dataCentre);
        node.storeDelay = milliseconds(dataCentre == "a1" ? 6 : 8);
        return node;
    };
    auto nodes = std::vector<node_registration> { nearby("n1", "a1"), nearby("n2", "a1"), nearby("n3", "a2"), nearby("n4", "a2"), nearby("n5", "a3") };
    auto readers = 0, watchers = 0;
    for (auto& own : nodes) {
        auto memberView = membership_view(own);
        memberView.setOwnState(true, false);
        for (auto& other : nodes) {
            if (other.name == own.name)
                continue;
            memberView.recordRegistration(other);
            memberView.recordHello(makeHello(other.name), at(0));
        }
        readers += memberView.isReader(at(100)) ? 1 : 0;
        watchers += memberView.watchesConfiguration(at(100)) ? 1 : 0;
        if (own.dataCentre != "a1") {
            // The hellos of the reader stop: the first node of each data centre takes the next one near the store, then reads itself.
            CHECK(memberView.reader(at(100)) != nullptr);
            memberView.recordHello(makeHello("n2"), at(2'000));
            CHECK(memberView.hasRemoteUpstream(at(2'000)));
            CHECK(memberView.isReader(at(5'000)));
        }
    }
    CHECK(readers == 1);
    CHECK(watchers == 2);
}

TEST_CASE("after a power loss small nodes alone are back: a host gets as many of them as its measured load needs")
{
    // 230 requests per second need 0.46 cores with room for a burst; a node of 0.1 cores is full with 100 requests per second.
    auto small = node_size { 0.1, 20 }, large = node_size { 0.5, 200 };
    auto goal = group_requirement { 1, { 0.2, 50 } };
    auto own = makeNode("n1");
    own.size = small;
    auto memberView = membership_view(own);
    memberView.setOwnState(true, false);
    for (auto name : { "n2", "n3", "n4", "n5", "n6", "n7", "n8" }) {
        auto node = makeNode(name);
        node.size = small;
        memberView.recordRegistration(node);
        memberView.recordHello(makeHello(name), at(0));
    }
    CHECK(memberView.group("h.example", "a1", goal, at(100)).size() == 3);
    for (auto name : { "n2", "n3" }) {
        auto busy = makeHello(name);
        busy.demands = { { "h.example", 100, 5 }, { "other.example", 5, 0.1 } };
        memberView.recordHello(busy, at(100));
    }
    memberView.setOwnDemands({ { "h.example", 30, 1 } });
    auto group = memberView.group("h.example", "a1", goal, at(200));
    CHECK(group.size() == 5);
    CHECK(memberView.group("other.example", "a1", goal, at(200)).size() == 3);
    // A large node that is back serves the host alone, and first.
    auto back = makeNode("n9");
    back.size = large;
    memberView.recordRegistration(back);
    memberView.recordHello(makeHello("n9"), at(300));
    group = memberView.group("h.example", "a1", goal, at(300));
    REQUIRE(group.size() == 1);
    CHECK(group.front().address == "n9");
    // Nodes that no longer send hellos do not count.
    CHECK(memberView.group("h.example", "a1", goal, at(5'000)).size() == 1);
}

TEST_CASE("when the reader loses the store and all views grow stale at once, the next node takes over alone")
{
    constexpr auto nodes = 55;
    auto nameOf = [](int index) { return "n" + std::to_string(100 + index); };
    auto readersAt = [&](duration viewAge, duration firstViewAge) {
        auto readers = 0, watchers = 0;
        for (auto own = 0; own < nodes; ++own) {
            auto memberView = membership_view(makeNode(nameOf(own)));
            memberView.setOwnState(true, false);
            for (auto other = 0; other < nodes; ++other) {
                if (other == own)
                    continue;
                memberView.recordRegistration(makeNode(nameOf(other)));
                auto hello = makeHello(nameOf(other));
                hello.viewAge = other == 0 ? firstViewAge : viewAge;
                memberView.recordHello(hello, at(0));
            }
            readers += memberView.isReader(at(100)) ? 1 : 0;
            watchers += memberView.watchesConfiguration(at(100)) ? 1 : 0;
        }
        return std::pair(readers, watchers);
    };
    // The reader's calls time out: it and the next one read until the next one has sent its hello.
    CHECK(readersAt(milliseconds(1'400), milliseconds(1'400)).first == 2);
    // The reader reports that the store refuses it, before the other views are stale.
    CHECK(readersAt(milliseconds(300), unservedReaderViewAge).first == 2);
    CHECK(readersAt(milliseconds(300), unservedReaderViewAge).second == 3);
    // Nobody took over in time.
    CHECK(readersAt(milliseconds(1'900), milliseconds(1'900)).first == nodes);
}

TEST_CASE("a message to the whole fleet reaches all nodes of the own data centre, and others of a distant one each time it is sent")
{
    auto memberView = membership_view(makeNode("a-1", "a1"));
    for (auto index = 2; index <= 20; ++index)
        memberView.recordRegistration(makeNode("a-" + std::to_string(index), "a1"));
    for (auto index = 1; index <= 20; ++index)
        memberView.recordRegistration(makeNode("b-" + std::to_string(index), "b1"));
    memberView.recordRegistration(makeNode("c-1", "c1"));
    auto reached = std::map<std::string, int> {};
    for (auto salt = uint64_t { 0 }; salt < 3; ++salt) {
        auto recipients = memberView.fleetRecipients(salt);
        CHECK(recipients.size() == 19 + 2 + 1);
        for (auto& recipient : recipients)
            ++reached[recipient.dataCentre == "b1" ? recipient.name : recipient.dataCentre];
    }
    CHECK(reached["a1"] == 3 * 19);
    CHECK(reached["c1"] == 3);
    // More than two nodes of the distant data centre, so that one that has failed does not keep the message from it.
    CHECK(std::ranges::count_if(reached, [](auto& entry) { return entry.first.starts_with("b-"); }) > 2);
    CHECK(memberView.localPeers().size() == 19);
}

TEST_CASE("all nodes name the same issuers of the permits of a target: nodes of its data centre, without those that are leaving or silent")
{
    auto first = makeView("n1"), second = makeView("n2");
    auto issuers = first.permitIssuers("t", "a1", at(100));
    CHECK(issuers == second.permitIssuers("t", "a1", at(100)));
    REQUIRE(issuers.size() == membership_view::maxPermitIssuers);
    // Targets are spread over the nodes.
    auto firstOf = std::map<std::string, int> {};
    for (auto target = 0; target < 60; ++target)
        ++firstOf[first.permitIssuers(std::to_string(target), "a1", at(100)).front()];
    CHECK(firstOf.size() == 3);
    // A data centre without nodes is served by the others.
    CHECK(first.permitIssuers("t", "b1", at(100)).size() == membership_view::maxPermitIssuers);
    auto silent = first.permitIssuers("t", "a1", at(5'000));
    CHECK(silent == std::vector<std::string> { "n1" });
    first.setOwnState(true, true);
    CHECK(std::ranges::count(first.permitIssuers("t", "a1", at(100)), "n1") == 0);
}
