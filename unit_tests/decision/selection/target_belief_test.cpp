#include "gypsumhub/decision/selection/target_belief.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

const auto rates = episode_rates {};

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

} // namespace

TEST_CASE("a target without evidence is as bad as the service's share says")
{
    auto belief = target_belief(at(0), rates);
    CHECK(belief.probabilityBad(at(0), rates) == doctest::Approx(rates.badShare()));
    CHECK(belief.probabilityBad(at(60'000), rates) == doctest::Approx(rates.badShare()));
}

TEST_CASE("one failure of a proven target makes others preferable, a second one is near certainty")
{
    auto belief = target_belief(at(0), rates);
    for (auto ms = 0; ms < 1'000; ms += 100)
        belief.observe(outcome_kind::Success, at(ms), at(ms), rates);
    CHECK(belief.probabilityBad(at(1'000), rates) < 0.02);
    belief.observe(outcome_kind::Failure, at(1'100), at(1'100), rates);
    CHECK(belief.probabilityBad(at(1'100), rates) > rates.badShare());
    belief.observe(outcome_kind::Failure, at(1'200), at(1'200), rates);
    CHECK(belief.probabilityBad(at(1'200), rates) > 0.95);
}

TEST_CASE("a success that was sent before the last failure does not bring the target back")
{
    auto belief = target_belief(at(0), rates);
    belief.observe(outcome_kind::Failure, at(500), at(500), rates);
    auto before = belief.probabilityBad(at(800), rates);
    belief.observe(outcome_kind::Success, at(400), at(800), rates);
    CHECK(belief.probabilityBad(at(800), rates) == doctest::Approx(before));
    belief.observe(outcome_kind::Success, at(700), at(900), rates);
    CHECK(belief.probabilityBad(at(900), rates) < before);
}

TEST_CASE("a set-aside target drifts back to the share of bad ones within a few episodes")
{
    auto belief = target_belief(at(0), rates);
    for (auto count = 0; count < 3; ++count)
        belief.observe(outcome_kind::Failure, at(100), at(100), rates);
    CHECK(belief.probabilityBad(at(100), rates) > 0.95);
    CHECK(belief.probabilityBad(at(30'000), rates) < rates.badShare() + 0.02);
}
