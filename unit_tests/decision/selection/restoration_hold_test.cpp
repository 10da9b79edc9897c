#include "gypsumhub/decision/selection/restoration_hold.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

} // namespace

TEST_CASE("removals are held back after each return of the store, and then the store is listed once more")
{
    auto hold = restoration_hold {};
    hold.recordEra(3, at(1'000));
    CHECK(!hold.isHolding(at(10)));
    CHECK(!hold.takeListingDue(at(2'000)));

    hold.recordEra(4, at(5'000));
    hold.recordEra(4, at(9'000));
    CHECK(hold.isHolding(at(4'999)));
    CHECK(!hold.takeListingDue(at(4'999)));
    CHECK(hold.limit(at(30'000), at(4'000)) == at(5'000));
    CHECK(!hold.isHolding(at(5'000)));
    CHECK(hold.limit(at(30'000), at(5'000)) == at(30'000));
    CHECK(hold.takeListingDue(at(5'000)));
    CHECK(!hold.takeListingDue(at(5'001)));

    hold.recordEra(5, at(7'000));
    hold.recordEra(6, at(8'000));
    CHECK(hold.isHolding(at(7'999)));
    CHECK(hold.takeListingDue(at(8'000)));
    CHECK(!hold.takeListingDue(at(9'000)));
}

TEST_CASE("a store without eras never holds back removals")
{
    auto hold = restoration_hold {};
    hold.recordEra(0, at(1'000));
    hold.recordEra(0, at(2'000));
    CHECK(!hold.isHolding(at(10)));
    CHECK(!hold.takeListingDue(at(10)));
}
