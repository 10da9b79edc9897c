#include "gypsumhub/core/hash.h"
#include "gypsumhub/gateway/log_sampler.h"

#include <doctest/doctest.h>
#include <string>

using namespace gypsumhub;

namespace {

/// How many of a second's requests are taken, after a second of the same load.
auto takenOf(log_sampler& sampler, int requests) -> int
{
    auto taken = 0;
    for (auto second = 0; second < 2; ++second) {
        for (auto count = 0; count < requests; ++count) {
            auto now = time_point {} + seconds(second) + microseconds(count * 1'000'000LL / requests);
            auto isTaken = sampler.take(hashName("r-" + std::to_string(count)), now);
            taken += second == 1 && isTaken ? 1 : 0;
        }
    }
    return taken;
}

} // namespace

TEST_CASE("a calm node logs every request; one with five times as many as the limit keeps a part below it")
{
    auto calm = log_sampler(100), busy = log_sampler(100);
    CHECK(takenOf(calm, 90) == 90);
    auto taken = takenOf(busy, 500);
    CHECK(busy.oneIn() == 8);
    CHECK(taken > 30);
    CHECK(taken <= 100);
}

TEST_CASE("what a busy node keeps, a less busy one keeps too")
{
    auto busy = log_sampler(10), busier = log_sampler(10);
    takenOf(busy, 35);
    takenOf(busier, 150);
    CHECK(busier.oneIn() > busy.oneIn());
    for (auto count = 0; count < 100; ++count) {
        auto hash = hashName("x-" + std::to_string(count));
        auto now = time_point {} + milliseconds(1'990);
        if (busier.take(hash, now))
            CHECK(busy.take(hash, now));
    }
}
