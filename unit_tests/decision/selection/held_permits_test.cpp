#include "gypsumhub/decision/selection/held_permits.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

auto grantOf(uint64_t ticket, uint32_t count, duration retryAfter = {}) -> permit_grant
{
    return { { "t", 1, 5.0, at(0) }, ticket, count, retryAfter };
}

auto ask(held_permits& permits, size_t waiting, time_point now) -> held_permits::demand
{
    permits.recordDemand("t", waiting);
    auto demands = permits.takeDemands(now);
    REQUIRE(demands.size() == 1);
    return demands.front();
}

} // namespace

TEST_CASE("a permit is used once and ends half a second after it was asked for")
{
    auto permits = held_permits {};
    auto asked = ask(permits, 2, at(1'000));
    CHECK(asked.count == 2);
    CHECK_FALSE(permits.has("t", at(1'000)));
    REQUIRE(permits.recordGrant(grantOf(asked.ticket, 2), at(1'300)));
    CHECK(permits.has("t", at(1'301)));
    CHECK((permits.consume("t", at(1'301)) == at(1'500)));
    CHECK(permits.has("t", at(1'499)));
    CHECK_FALSE(permits.has("t", at(1'500)));
    // Without a permit, the request must not be sent any more.
    CHECK((permits.consume("t", at(1'500)) == at(1'500)));
}

TEST_CASE("answers that arrive twice, late or from another process count for nothing, nor does more than was asked for")
{
    auto permits = held_permits {};
    auto asked = ask(permits, 1, at(0));
    CHECK_FALSE(permits.recordGrant(grantOf(asked.ticket + 5, 1), at(10)));
    CHECK(permits.recordGrant(grantOf(asked.ticket, 50), at(10)));
    CHECK_FALSE(permits.recordGrant(grantOf(asked.ticket, 1), at(11)));
    permits.consume("t", at(12));
    CHECK_FALSE(permits.has("t", at(12)));
}

TEST_CASE("a denied node asks again at the time it was told, an unanswered one asks another node soon")
{
    auto permits = held_permits {};
    auto asked = ask(permits, 1, at(0));
    permits.recordDemand("t", 1);
    CHECK(permits.takeDemands(at(20)).empty());
    permits.recordGrant(grantOf(asked.ticket, 0, milliseconds(700)), at(20));
    CHECK((permits.deniedUntil("t") == at(720)));
    permits.recordDemand("t", 1);
    CHECK(permits.takeDemands(at(719)).empty());
    auto again = permits.takeDemands(at(720));
    REQUIRE(again.size() == 1);
    CHECK(again.front().unanswered == 0);
    permits.expire(at(900));
    CHECK(ask(permits, 1, at(1'000)).unanswered == 1);
}

TEST_CASE("while permits are denied, a node expects what it was granted lately")
{
    auto limit = target_limit { "t", 1, 5.0, at(0) };
    auto permits = held_permits {};
    CHECK(permits.expectedRate(limit, at(0)) == 5.0);
    for (auto now = int64_t { 0 }; now < 10'000; now += 1'000)
        permits.recordGrant(grantOf(ask(permits, 4, at(now)).ticket, 1, milliseconds(990)), at(now + 5));
    CHECK(permits.expectedRate(limit, at(9'500)) < 2);
    CHECK(permits.expectedRate(limit, at(9'500)) > 0.5);
    permits.forget("t");
    CHECK(permits.expectedRate(limit, at(9'500)) == 5.0);
}
