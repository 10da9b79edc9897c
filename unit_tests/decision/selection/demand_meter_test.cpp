#include "gypsumhub/decision/selection/demand_meter.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

} // namespace

TEST_CASE("a steady load is measured within a tenth, and forgotten after it has ended")
{
    auto meter = demand_meter {};
    // 200 requests per second of 5,000 bytes, for 12 seconds.
    for (auto ms = int64_t { 0 }; ms < 12'000; ms += 5) {
        meter.recordRequest("a.example", at(ms));
        meter.recordBytes("a.example", 5'000, at(ms));
    }
    auto demands = meter.demands(at(12'000));
    REQUIRE(demands.size() == 1);
    CHECK(demands.front().requestsPerSecond == doctest::Approx(200).epsilon(0.1));
    CHECK(demands.front().megabitsPerSecond == doctest::Approx(8).epsilon(0.1));
    // A load of 200 requests per second takes 0.2 cores, and the nodes have room for twice as much.
    CHECK(sizeFor(demands.front()).cores == doctest::Approx(0.4).epsilon(0.1));
    CHECK(meter.demands(at(40'000)).empty());
}

TEST_CASE("many hosts neither grow the memory without bound nor the list of demands")
{
    auto meter = demand_meter {};
    for (auto index = 0; index < 10'000; ++index)
        meter.recordRequest("h" + std::to_string(index), at(index));
    CHECK(meter.demands(at(10'000)).size() <= 8);
}
