#include "gypsumhub/decision/selection/known_limits.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto stated(int64_t atMs, std::optional<double> rate, uint64_t incarnation = 1, std::string target = "a") -> target_limit
{
    return { std::move(target), incarnation, rate, time_point {} + milliseconds(atMs) };
}

auto rateOf(const known_limits& limits, uint64_t incarnation = 1) -> double
{
    auto* found = limits.find("a", incarnation);
    return found ? *found->requestsPerSecond : -1;
}

} // namespace

TEST_CASE("the latest answer of a target decides about its limit, in whatever order the reports arrive")
{
    auto limits = known_limits {};
    CHECK(limits.record(stated(100, 5)));
    CHECK(!limits.record(stated(200, 5)));
    CHECK(limits.record(stated(400, 2)));
    CHECK(!limits.record(stated(300, 9)));
    CHECK(rateOf(limits) == 2);
    CHECK(limits.record(stated(600, std::nullopt)));
    CHECK(!limits.record(stated(500, 2)));
    CHECK(rateOf(limits) == -1);
    CHECK(limits.count() == 0);
}

TEST_CASE("an answer that was overtaken by a stricter one neither ends nor raises the limit")
{
    auto sentAt = [](int64_t ms) { return time_point {} + milliseconds(ms); };
    auto limits = known_limits {};
    CHECK(limits.record(stated(100, 5)));
    CHECK(!limits.recordAnswer(stated(150, std::nullopt), sentAt(50)));
    CHECK(!limits.recordAnswer(stated(160, 9), sentAt(60)));
    CHECK(rateOf(limits) == 5);
    CHECK(limits.recordAnswer(stated(200, 2), sentAt(50)));
    CHECK(!limits.recordAnswer(stated(210, 5), sentAt(199)));
    CHECK(rateOf(limits) == 2);
    CHECK(limits.recordAnswer(stated(250, 5), sentAt(201)));
    CHECK(limits.recordAnswer(stated(300, std::nullopt), sentAt(251)));
    CHECK(rateOf(limits) == -1);
}

TEST_CASE("reports that repeat a limit do not keep its end from being noticed")
{
    auto limits = known_limits {};
    CHECK(limits.recordAnswer(stated(100, 5), time_point {}));
    CHECK(!limits.record(stated(290, 5)));
    CHECK(limits.recordAnswer(stated(300, std::nullopt), time_point {} + milliseconds(200)));
    CHECK(rateOf(limits) == -1);
}

TEST_CASE("an answer of another incarnation counts, whenever the request was sent")
{
    auto limits = known_limits {};
    limits.record(stated(100, 5));
    CHECK(limits.recordAnswer(stated(150, 9, 2), time_point {}));
    CHECK(rateOf(limits, 2) == 9);
}

TEST_CASE("a limit does not hold for another incarnation of its target")
{
    auto limits = known_limits {};
    limits.record(stated(100, 5));
    CHECK(rateOf(limits, 2) == -1);
    CHECK(limits.record(stated(200, 5, 2)));
    CHECK(rateOf(limits, 2) == 5);
    CHECK(rateOf(limits, 1) == -1);
}

TEST_CASE("the memory for limits is bounded, and statements of targets that are gone end")
{
    auto limits = known_limits {};
    for (auto index = size_t { 0 }; index < known_limits::maxTargets + 10; ++index)
        limits.record(stated(static_cast<int64_t>(index), 1, 1, std::to_string(index)));
    CHECK(limits.count() == known_limits::maxTargets);
    limits.prune(time_point {} + minutes(11));
    CHECK(limits.isEmpty());
}

TEST_CASE("answers without a limit are not remembered for targets that never stated one")
{
    auto limits = known_limits {};
    CHECK(!limits.record(stated(100, std::nullopt)));
    CHECK(limits.isEmpty());
}
