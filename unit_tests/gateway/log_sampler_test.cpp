#include "gypsumhub/core/hash.h"
#include "gypsumhub/gateway/log_sampler.h"

#include <doctest/doctest.h>
#include <string>

using namespace gypsumhub;

namespace {

/// How many of a second's requests are taken, after a second of the same load.
auto sampledOf(log_sampler& sampler, int requests) -> int
{
    auto sampled = 0;
    for (auto second = 0; second < 2; ++second) {
        for (auto count = 0; count < requests; ++count) {
            auto now = time_point {} + seconds(second) + microseconds(count * 1'000'000LL / requests);
            auto isSampled = sampler.sample(hashName("r-" + std::to_string(count)), now);
            sampled += second == 1 && isSampled ? 1 : 0;
        }
    }
    return sampled;
}

} // namespace

TEST_CASE("a calm node logs every request; one with five times as many as the limit keeps a part below it")
{
    auto calm = log_sampler(100), busy = log_sampler(100);
    CHECK(sampledOf(calm, 90) == 90);
    auto sampled = sampledOf(busy, 500);
    CHECK(busy.oneIn() == 8);
    CHECK(sampled > 30);
    CHECK(sampled <= 100);
}

TEST_CASE("what a busy node keeps, a less busy one keeps too")
{
    auto busy = log_sampler(10), busier = log_sampler(10);
    sampledOf(busy, 35);
    sampledOf(busier, 150);
    CHECK(busier.oneIn() > busy.oneIn());
    for (auto count = 0; count < 100; ++count) {
        auto hash = hashName("x-" + std::to_string(count));
        auto now = time_point {} + milliseconds(1'990);
        if (busier.sample(hash, now))
            CHECK(busy.sample(hash, now));
    }
}
