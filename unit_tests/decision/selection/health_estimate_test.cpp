#include "gypsumhub/decision/selection/health_estimate.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

const auto rates = failure_rates {};

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

} // namespace

TEST_CASE("a target without evidence is bad with the long-run probability of the service")
{
    auto health = health_estimate(at(0), rates);
    CHECK(health.probabilityBad(at(0), rates) == doctest::Approx(rates.stationaryProbabilityBad()));
    CHECK(health.probabilityBad(at(60'000), rates) == doctest::Approx(rates.stationaryProbabilityBad()));
}

TEST_CASE("one failure raises the probability of a healthy target above average; a second one makes it almost certain")
{
    auto health = health_estimate(at(0), rates);
    for (auto ms = 0; ms < 1'000; ms += 100)
        health.observe(outcome_kind::Success, at(ms), at(ms), rates);
    CHECK(health.probabilityBad(at(1'000), rates) < 0.02);
    health.observe(outcome_kind::Failure, at(1'100), at(1'100), rates);
    CHECK(health.probabilityBad(at(1'100), rates) > rates.stationaryProbabilityBad());
    health.observe(outcome_kind::Failure, at(1'200), at(1'200), rates);
    CHECK(health.probabilityBad(at(1'200), rates) > 0.95);
}

TEST_CASE("a success that was sent before the last failure does not improve the estimate")
{
    auto health = health_estimate(at(0), rates);
    health.observe(outcome_kind::Failure, at(500), at(500), rates);
    auto before = health.probabilityBad(at(800), rates);
    health.observe(outcome_kind::Success, at(400), at(800), rates);
    CHECK(health.probabilityBad(at(800), rates) == doctest::Approx(before));
    health.observe(outcome_kind::Success, at(700), at(900), rates);
    CHECK(health.probabilityBad(at(900), rates) < before);
}

TEST_CASE("without new outcomes the estimate returns to the long-run probability within a few mean periods")
{
    auto health = health_estimate(at(0), rates);
    for (auto count = 0; count < 3; ++count)
        health.observe(outcome_kind::Failure, at(100), at(100), rates);
    CHECK(health.probabilityBad(at(100), rates) > 0.95);
    CHECK(health.probabilityBad(at(30'000), rates) < rates.stationaryProbabilityBad() + 0.02);
}
