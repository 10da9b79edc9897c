#include "fakes/schedule_run.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    // Number of random schedules, each with several faults, for each deployment. The measurement runs ten thousand.
    constexpr auto schedulesPerDeployment = uint64_t { 60 };

} // namespace

TEST_CASE("under random schedules of several faults the product keeps every guarantee, and the naive version does not")
{
    auto naiveFigures = schedule_result {};
    for (auto& deployment : { associationDeployment(), wroblewskiDeployment() }) {
        for (auto seed = uint64_t { 1 }; seed <= schedulesPerDeployment; ++seed) {
            auto plan = makeRandomSchedule(deployment, seed);
            auto figures = runProduct(plan);
            INFO(deployment.name << " seed " << seed);
            CHECK(figures.floorViolations == 0);
            CHECK(figures.duplicateExecutions == 0);
            CHECK(figures.falseNotRun == 0);
            CHECK(figures.wrongOrCutAnswers == 0);
            if (seed % 10 == 0) {
                auto naive = runNaive(plan);
                naiveFigures.floorViolations += naive.floorViolations;
                naiveFigures.duplicateExecutions += naive.duplicateExecutions;
                naiveFigures.falseNotRun += naive.falseNotRun;
                naiveFigures.wrongOrCutAnswers += naive.wrongOrCutAnswers;
            }
        }
    }
    // Verifies that the schedules can violate each guarantee.
    CHECK(naiveFigures.floorViolations > 0);
    CHECK(naiveFigures.duplicateExecutions > 0);
    CHECK(naiveFigures.falseNotRun > 0);
    CHECK(naiveFigures.wrongOrCutAnswers > 0);
}

TEST_CASE("repeated runs of a schedule produce the same figures")
{
    auto plan = makeRandomSchedule(wroblewskiDeployment(), 7);
    auto first = runProduct(plan);
    auto second = runProduct(plan);
    CHECK(first.answered == second.answered);
    CHECK(first.taken == second.taken);
    CHECK(first.detection == second.detection);
}

} // namespace gypsumhub
