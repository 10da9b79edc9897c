#include "gypsumhub/decision/selection/start_hold.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

} // namespace

TEST_CASE("after a power loss early requests are held until the first listing; without a store they are refused after a bounded time")
{
    // 250 requests per second from the start on; the configuration is known 600 ms after the start.
    auto known = at(600), started = at(0);
    auto held = size_t { 0 };
    auto refused = 0;
    for (auto ms = int64_t { 0 }; ms < 600; ms += 4) {
        if (holdUntil(at(ms), started, held) < known)
            ++refused;
        else
            ++held;
    }
    CHECK(refused == 0);
    CHECK((holdUntil(at(5'000), started, 0) == at(5'000)));
    CHECK((holdUntil(at(2'400), started, 0) <= at(2'500)));
}

TEST_CASE("the number of held requests is bounded")
{
    auto held = size_t { 0 };
    for (auto count = 0; count < 10'000; ++count)
        held += holdUntil(at(10), at(0), held) > at(10) ? 1 : 0;
    CHECK(held <= 250);
}
