#include "unit_tests/decision/core_fixture.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    auto eject(core_fixture& bench, int target) -> void
    {
        for (auto failure = 0; failure < 12 && !bench.isIn(target, health_state::Ejected); ++failure)
            bench.attempt(target, attempt_result::MismatchedAnswer);
        REQUIRE(bench.isIn(target, health_state::Ejected));
    }

    /// Lets time pass and answers every probe.
    auto advanceAnswering(core_fixture& bench, duration length, attempt_result answer) -> void
    {
        auto end = bench.now + length;
        while (bench.now < end) {
            bench.advance(tickInterval);
            for (auto& probe : std::exchange(bench.probes, {}))
                bench.handle(attempt_event { { probe.service, probe.target, answer, bench.now, bench.now, false, true } });
        }
    }

    auto settingsWith(int nodes) -> core_fixture_settings
    {
        auto settings = core_fixture_settings { .nodes = nodes };
        settings.rules.floorPercent = 50;
        return settings;
    }

} // namespace

TEST_CASE("probes open the way to a trial, real work ends it")
{
    auto bench = core_fixture { settingsWith(0) };
    eject(bench, 2);
    advanceAnswering(bench, seconds(9), attempt_result::Success);
    CHECK(bench.isIn(2, health_state::Ejected));
    advanceAnswering(bench, seconds(3), attempt_result::Success);
    CHECK(bench.isIn(2, health_state::Trial));
    CHECK(bench.record(2).weight < 1000);
    // Probes alone never end a trial.
    advanceAnswering(bench, seconds(30), attempt_result::Success);
    CHECK(bench.isIn(2, health_state::Trial));
    for (auto success = 0; success < 10; ++success)
        bench.attempt(2, attempt_result::Success);
    bench.advance(seconds(1));
    CHECK(bench.isIn(2, health_state::Healthy));
}

TEST_CASE("failed probes keep the target out")
{
    auto bench = core_fixture { settingsWith(0) };
    eject(bench, 2);
    advanceAnswering(bench, seconds(60), attempt_result::Silent);
    CHECK(bench.isIn(2, health_state::Ejected));
}

TEST_CASE("healthy targets are not probed")
{
    auto bench = core_fixture { settingsWith(0) };
    for (auto turn = 0; turn < 100; ++turn) {
        bench.advance(milliseconds(100));
        for (auto target = 0; target < 8; ++target)
            bench.attempt(target, attempt_result::Success);
    }
    CHECK(bench.probes.empty());
}

TEST_CASE("flapping lengthens the set-aside, and time forgives it")
{
    auto bench = core_fixture { settingsWith(0) };
    auto lastLength = int64_t { 0 };
    for (auto round = 0; round < 4; ++round) {
        eject(bench, 2);
        auto length = (bench.record(2).ejectedUntil - bench.now).milliseconds();
        CHECK(length > lastLength);
        lastLength = length;
        advanceAnswering(bench, milliseconds(length) + seconds(10), attempt_result::Success);
        REQUIRE(bench.isIn(2, health_state::Trial));
    }
    for (auto success = 0; success < 12; ++success)
        bench.attempt(2, attempt_result::Success);
    bench.advance(minutes(50));
    CHECK(bench.record(2).recentEjections == 0);
}

TEST_CASE("one member of the group probes for all")
{
    auto probing = 0;
    for (auto self = 0; self < 3; ++self) {
        auto settings = settingsWith(3);
        settings.self = self;
        auto bench = core_fixture { settings };
        eject(bench, 2);
        bench.advance(seconds(5));
        probing += bench.probes.empty() ? 0 : 1;
    }
    CHECK(probing == 1);
}

TEST_CASE("a member follows another into the trial, not before its own set-aside nears its end")
{
    auto settings = settingsWith(3);
    auto bench = core_fixture { settings };
    eject(bench, 2);
    auto trial = evidence { bench.service(), bench.target(2), health_state::Trial, 0, 0, 0, 0, bench.now + seconds(30) };
    bench.handle(evidence_event { bench.node(1), { trial } });
    CHECK(bench.isIn(2, health_state::Ejected));
    bench.advance(seconds(9));
    bench.handle(evidence_event { bench.node(1), { trial } });
    CHECK(bench.isIn(2, health_state::Trial));
}

} // namespace gypsumhub
