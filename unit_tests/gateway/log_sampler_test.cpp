#include "gypsumhub/core/hash.h"
#include "gypsumhub/gateway/log_sampler.h"

#include <doctest/doctest.h>
#include <string>

using namespace gypsumhub;

namespace {

/// The number of requests sampled in one second after a second of the same load.
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

TEST_CASE("below the limit every request is logged; at five times the limit a share that stays below it")
{
    auto idle = log_sampler(100), busy = log_sampler(100);
    CHECK(sampledOf(idle, 90) == 90);
    auto sampled = sampledOf(busy, 500);
    CHECK(busy.oneIn() == 8);
    CHECK(sampled > 30);
    CHECK(sampled <= 100);
}

TEST_CASE("a request that a busy node samples is also sampled by a less busy one")
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
