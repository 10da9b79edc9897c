#include "gypsumhub/decision/selection/leaving_targets.h"
#include "gypsumhub/decision/selection/load_balancer.h"
#include "unit_tests/decision/selection/member_nodes.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto makeTarget(uint64_t incarnation, std::string id = "one") -> target_registration
{
    auto made = target_registration {};
    made.id = std::move(id);
    made.service = "bookdesk";
    made.dataCentre = "a1";
    made.slots = 4;
    made.incarnation = incarnation;
    return made;
}

auto makeBalancer() -> load_balancer
{
    return load_balancer(
        "a1", [](std::string_view) { return std::string("a"); }, {}, 7);
}

auto usable(load_balancer& balancer, time_point now) -> uint32_t
{
    return balancer.choose({ "bookdesk" }, now).usable;
}

} // namespace

TEST_CASE("DRAIN: a target that stated to this node that it leaves gets nothing until another incarnation starts")
{
    auto balancer = makeBalancer();
    balancer.put(makeTarget(5), at(0));
    REQUIRE(usable(balancer, at(0)) == 1);
    CHECK(balancer.recordLeavingAnswer({ "one", 5 }, at(10)));
    CHECK_FALSE(balancer.recordLeavingAnswer({ "one", 5 }, at(20)));
    CHECK(usable(balancer, at(10)) == 0);
    CHECK(usable(balancer, at(3'600'000)) == 0);
    // An entry that still says ready, one that returns after the store lost it, and one of an earlier incarnation.
    balancer.put(makeTarget(5), at(30));
    CHECK(usable(balancer, at(30)) == 0);
    balancer.remove("one");
    balancer.put(makeTarget(5), at(40));
    CHECK(usable(balancer, at(40)) == 0);
    balancer.put(makeTarget(4), at(50));
    CHECK(usable(balancer, at(50)) == 0);
    balancer.put(makeTarget(6), at(60));
    CHECK(usable(balancer, at(60)) == 1);
}

TEST_CASE("DRAIN: a target that stated it before its registration arrived gets nothing; a due trial does not change that")
{
    auto balancer = makeBalancer();
    CHECK(balancer.recordLeavingReport({ "one", 5 }, at(0)));
    balancer.put(makeTarget(5), at(10), true);
    balancer.put(makeTarget(1, "other"), at(10));
    for (auto ms = int64_t { 10 }; ms < 9'000; ms += 100) {
        auto chosen = balancer.choose({ "bookdesk" }, at(ms)).target;
        REQUIRE(chosen);
        CHECK(chosen->registration.id == "other");
    }
}

TEST_CASE("what a target stated to another node holds for a limited time, and does not shorten what it stated to this one")
{
    auto leaving = leaving_targets {};
    CHECK(leaving.recordReport({ "one", 5 }, at(0)));
    CHECK_FALSE(leaving.recordReport({ "one", 5 }, at(100)));
    CHECK(at(1'000) < leaving.leavingUntil("one", 5));
    CHECK(leaving.leavingUntil("one", 5) < at(60'000));
    CHECK(leaving.count(at(1'000)) == 1);
    CHECK(leaving.count(at(60'000)) == 0);
    // A report of an earlier incarnation changes nothing.
    CHECK_FALSE(leaving.recordReport({ "one", 4 }, at(200)));
    CHECK(leaving.recordAnswer({ "one", 5 }, at(300)));
    CHECK_FALSE(leaving.recordReport({ "one", 5 }, at(400)));
    CHECK((leaving.leavingUntil("one", 5) == never));
    CHECK((leaving.leavingUntil("one", 6) == time_point {}));
}

TEST_CASE("the number of targets that are known to be leaving is bounded, and the oldest statement is dropped")
{
    auto leaving = leaving_targets {};
    for (auto index = size_t { 0 }; index <= leaving_targets::maxTargets; ++index)
        leaving.recordAnswer({ "t" + std::to_string(index), 1 }, at(static_cast<int64_t>(index)));
    CHECK(leaving.count(at(0)) == leaving_targets::maxTargets);
    CHECK((leaving.leavingUntil("t0", 1) == time_point {}));
    CHECK((leaving.leavingUntil("t1", 1) == never));
}
