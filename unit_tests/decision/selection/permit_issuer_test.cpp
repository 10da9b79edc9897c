#include "gypsumhub/decision/selection/permit_issuer.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

auto limitOf(double rate, uint64_t incarnation = 1) -> target_limit
{
    return { "t", incarnation, rate, at(0) };
}

auto ask(permit_issuer& issuer, const target_limit& limit, uint32_t count, time_point now) -> permit_grant
{
    return issuer.grant({ limit, "n1", 7, count }, limit, now);
}

auto isAlwaysIssuer(std::string_view) -> bool
{
    return true;
}

} // namespace

TEST_CASE("a new issuer grants nothing until the previous one has noticed, then at the rate of the limit")
{
    auto issuer = permit_issuer {};
    auto first = ask(issuer, limitOf(4), 2, at(0));
    CHECK(first.count == 0);
    CHECK((first.retryAfter == permit_issuer::handoverTime + milliseconds(250)));
    CHECK(ask(issuer, limitOf(4), 2, at(1'500)).count == 0);
    auto second = ask(issuer, limitOf(4), 9, at(2'010));
    CHECK(second.count == 2);
    CHECK(second.ticket == 7);
}

TEST_CASE("unused permits accumulate to a small burst only")
{
    auto issuer = permit_issuer {};
    ask(issuer, limitOf(8), 1, at(0));
    CHECK(ask(issuer, limitOf(8), 64, at(60'000)).count == 3);
}

TEST_CASE("nodes that are denied are told to ask one after the other")
{
    auto issuer = permit_issuer {};
    ask(issuer, limitOf(2), 1, at(0));
    CHECK(ask(issuer, limitOf(2), 1, at(2'000)).count == 1);
    auto first = ask(issuer, limitOf(2), 1, at(2'100)), second = ask(issuer, limitOf(2), 1, at(2'100));
    CHECK(first.retryAfter < second.retryAfter);
    for (auto asker = 0; asker < 100; ++asker)
        CHECK(ask(issuer, limitOf(2), 1, at(2'100)).retryAfter <= permit_issuer::maxContentionWait + milliseconds(500));
}

TEST_CASE("a lower or higher limit counts from then on, and a limit of zero leaves requests that can find its end")
{
    auto issuer = permit_issuer {};
    ask(issuer, limitOf(1), 1, at(0));
    ask(issuer, limitOf(100), 1, at(3'000));
    CHECK(ask(issuer, limitOf(100), 64, at(3'200)).count >= 20);
    CHECK(ask(issuer, limitOf(1), 64, at(4'000)).count <= 1);
    auto granted = uint32_t { 0 };
    for (auto now = int64_t { 4'010 }; now < 24'010; now += 10)
        granted += ask(issuer, limitOf(0), 1, at(now)).count;
    CHECK(granted >= 3);
    CHECK(granted <= 5);
}

TEST_CASE("buckets are dropped with their issuer's role and after a suspension, and then begin empty again")
{
    auto issuer = permit_issuer {};
    issuer.tick(at(0), isAlwaysIssuer);
    ask(issuer, limitOf(10), 1, at(0));
    issuer.tick(at(900), isAlwaysIssuer);
    CHECK(issuer.bucketCount() == 1);
    issuer.tick(at(950), [](auto) { return false; });
    CHECK(issuer.bucketCount() == 0);
    ask(issuer, limitOf(10), 1, at(1'000));
    issuer.tick(at(4'000), isAlwaysIssuer);
    CHECK(issuer.bucketCount() == 0);
    CHECK(ask(issuer, limitOf(10), 1, at(4'010)).count == 0);
}

TEST_CASE("a restarted target begins with an empty bucket")
{
    auto issuer = permit_issuer {};
    ask(issuer, limitOf(10), 1, at(0));
    CHECK(ask(issuer, limitOf(10, 2), 9, at(5'000)).count == 0);
    CHECK(ask(issuer, limitOf(10, 2), 9, at(5'200)).count == 2);
}
