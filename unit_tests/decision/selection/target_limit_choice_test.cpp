#include "gypsumhub/decision/selection/load_balancer.h"
#include "gypsumhub/decision/selection/placement_queue.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

auto makeBalancer(std::initializer_list<std::string> targets) -> load_balancer
{
    auto balancer = load_balancer(
        "a1", [](std::string_view name) { return std::string(name.substr(0, 1)); }, {}, 7);
    for (auto& id : targets) {
        auto made = target_registration {};
        made.id = id;
        made.service = "bookdesk";
        made.address = { "127.0.0.1", 1 };
        made.dataCentre = "a1";
        made.slots = 4;
        made.incarnation = 1;
        balancer.put(made, at(0));
    }
    return balancer;
}

auto limit(load_balancer& balancer, const std::string& target, double rate, uint64_t incarnation = 1) -> void
{
    balancer.limits().record({ target, incarnation, rate, at(1) });
}

auto holdPermit(load_balancer& balancer, const std::string& target, time_point now) -> void
{
    balancer.permits().recordDemand(target, 1);
    auto ticket = balancer.permits().takeDemands(now).front().ticket;
    balancer.permits().recordGrant({ { target, 1, 1.0, at(1) }, ticket, 1, {} }, now);
}

constexpr auto unsafeRequest = selection_request { "bookdesk" };

} // namespace

TEST_CASE("without a permit, requests go to the other targets; a permit allows one request")
{
    auto balancer = makeBalancer({ "limited", "other" });
    limit(balancer, "limited", 1);
    for (auto count = 0; count < 4; ++count)
        CHECK(balancer.choose(unsafeRequest, at(10)).target->registration.id == "other");
    balancer.recordFull(*balancer.find("other"), at(10));
    auto chosen = balancer.choose(unsafeRequest, at(11));
    CHECK(chosen.target == nullptr);
    REQUIRE(chosen.needsPermit);
    CHECK(chosen.needsPermit->registration.id == "limited");
    CHECK(chosen.usable == 2);
    holdPermit(balancer, "limited", at(12));
    chosen = balancer.choose(unsafeRequest, at(13));
    REQUIRE(chosen.target);
    CHECK(chosen.target->registration.id == "limited");
    CHECK(balancer.recordSent(*chosen.target, at(13)) < at(600));
    CHECK(balancer.choose(unsafeRequest, at(14)).target == nullptr);
}

TEST_CASE("a limit of an earlier incarnation does not hold, and a request without a limit may be sent at any time")
{
    auto balancer = makeBalancer({ "restarted" });
    limit(balancer, "restarted", 1, 0);
    auto chosen = balancer.choose(unsafeRequest, at(10));
    REQUIRE(chosen.target);
    CHECK((balancer.recordSent(*chosen.target, at(10)) == never));
}

TEST_CASE("a limit is no evidence of a fault")
{
    auto balancer = makeBalancer({ "limited", "other" });
    auto before = balancer.find("limited")->health.probabilityBad(at(500), balancer.model("bookdesk").rates());
    limit(balancer, "limited", 0.2);
    for (auto now = int64_t { 10 }; now < 500; now += 10)
        balancer.choose(unsafeRequest, at(now));
    CHECK(balancer.find("limited")->health.probabilityBad(at(500), balancer.model("bookdesk").rates()) == before);
}

TEST_CASE("when all targets state limits, requests beyond them are refused on arrival with the time until the next permit")
{
    auto balancer = makeBalancer({ "one", "two" });
    limit(balancer, "one", 1);
    CHECK_FALSE(balancer.choose(unsafeRequest, at(10)).outlook);
    limit(balancer, "two", 1);
    for (auto target : { "one", "two" }) {
        balancer.permits().recordDemand(target, 1);
        auto ticket = balancer.permits().takeDemands(at(20)).front().ticket;
        balancer.permits().recordGrant({ { target, 1, 1.0, at(1) }, ticket, 0, milliseconds(900) }, at(20));
    }
    auto chosen = balancer.choose(unsafeRequest, at(20));
    REQUIRE(chosen.outlook);
    CHECK((chosen.outlook->untilNext == milliseconds(900)));
    CHECK(chosen.outlook->permitsPerSecond <= 2);
    auto queue = placement_queue {};
    auto capacity = service_capacity { 0, chosen.usable, milliseconds(20), chosen.outlook };
    auto impatient = queue.evaluate({ 1, 0, at(20), at(820) }, capacity);
    CHECK_FALSE(impatient.isAdmitted);
    CHECK((impatient.predictedWait == milliseconds(900)));
    CHECK(queue.evaluate({ 2, 0, at(20), at(5'000) }, capacity).isAdmitted);
}
