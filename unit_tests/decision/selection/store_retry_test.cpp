#include "gypsumhub/decision/selection/store_retry.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

TEST_CASE("a store that turns a node away for nine seconds is called a dozen times, and soon after a short break")
{
    auto callsIn = [](duration outage) {
        auto calls = 0;
        for (auto at = duration {}; at < outage; at = at + retryDelay(at))
            ++calls;
        return calls;
    };
    CHECK(callsIn(seconds(9)) <= 14);
    CHECK(callsIn(milliseconds(400)) >= 3);
    // A target's entry is to be used again about 2 s after the store's return.
    CHECK(retryDelay(seconds(600)) <= milliseconds(1500));
}
