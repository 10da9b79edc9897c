#include "soak/soak_plan.h"
#include "soak/soak_promises.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

auto makeCall(const std::string& id) -> soak_call
{
    return { id, false, 1, at(10'000), at(10'050), 200, false, id, "i-b0" };
}

/// Returns the record of a run in which every guarantee holds.
auto makeRecord() -> soak_record
{
    auto record = soak_record {};
    record.calls = { makeCall("r-1") };
    record.arrivals = { { "i-b0", "r-1", at(10'010), true } };
    record.configurations = { { "i-a", at(0) }, { "i-b", at(5'000) } };
    record.steadyFrom = at(20'000);
    return record;
}

auto hasViolations(const soak_record& record) -> bool
{
    return !findViolations(record, {}).empty();
}

} // namespace

TEST_CASE("a correct run has no violations")
{
    CHECK_FALSE(hasViolations(makeRecord()));
}

TEST_CASE("each check of the soak detects violations of its guarantee")
{
    auto record = makeRecord();
    SUBCASE("answer of another request") { record.calls[0].answeredId = "r-2"; }
    SUBCASE("non-retryable request run twice") { record.arrivals.push_back({ "i-b1", "r-1", at(10'020), true }); }
    SUBCASE("refused as not run")
    {
        record.calls[0].status = 503;
        record.calls[0].target.clear();
    }
    SUBCASE("connection closed without an answer") { record.calls[0].status = 0; }
    SUBCASE("older configuration")
    {
        record.calls[0].target = "i-a0";
    }
    SUBCASE("drain") { record.drains = { { "i-b0", at(6'000), at(11'000) } }; }
    SUBCASE("retries")
    {
        for (auto count = 0; count < 200; ++count)
            record.arrivals.push_back({ "i-b1", "r-1", at(10'020), false });
    }
    SUBCASE("recovery")
    {
        record.calls[0].sentAt = at(20'001);
        record.calls[0].status = 502;
    }
    SUBCASE("exit") { record.exits = { "node 1 exited unexpectedly" }; }
    CHECK(hasViolations(record));
}

TEST_CASE("outages of a node and faults of the store are exempt")
{
    auto record = makeRecord();
    SUBCASE("connection closed by a kill")
    {
        record.calls[0].status = 0;
        record.nodeOutages = { { 1, at(10'020), at(11'000) } };
    }
    SUBCASE("older configuration during a store outage")
    {
        record.calls[0].target = "i-a0";
        record.storeFaults = { { soak_exemption::allNodes, at(4'000), at(9'000) } };
    }
    CHECK_FALSE(hasViolations(record));
}

TEST_CASE("a plan depends only on its seed, and all its events end in time")
{
    auto settings = soak_settings {};
    for (auto seed = uint64_t { 1 }; seed < 200; ++seed) {
        auto plan = makeSoakPlan(seed, settings), again = makeSoakPlan(seed, settings);
        REQUIRE(plan.size() == again.size());
        CHECK(plan.size() >= settings.events);
        for (auto index = size_t { 0 }; index < plan.size(); ++index) {
            CHECK(plan[index].kind == again[index].kind);
            CHECK((plan[index].until <= time_point {} + settings.length + milliseconds(1'500)));
        }
    }
}
