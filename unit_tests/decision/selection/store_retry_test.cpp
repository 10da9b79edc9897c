#include "gypsumhub/decision/selection/store_retry.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

TEST_CASE("a store that is out for nine seconds receives about a dozen calls, and calls resume soon after a short outage")
{
    auto callsIn = [](duration outage) {
        auto calls = 0;
        for (auto at = duration {}; at < outage; at = at + retryDelay(at))
            ++calls;
        return calls;
    };
    CHECK(callsIn(seconds(9)) <= 14);
    CHECK(callsIn(milliseconds(400)) >= 3);
    // Registrations must be current again about 2 s after the store has recovered.
    CHECK(retryDelay(seconds(600)) <= milliseconds(1500));
}
