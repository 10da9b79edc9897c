#include "unit_tests/decision/core_fixture.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    auto eject(core_fixture& fixture, int target) -> void
    {
        for (auto failure = 0; failure < 12 && !fixture.isIn(target, health_state::Ejected); ++failure)
            fixture.attempt(target, attempt_result::MismatchedAnswer);
        REQUIRE(fixture.isIn(target, health_state::Ejected));
    }

    /// Advances the time and ends every health check with this result.
    auto advanceAnswering(core_fixture& fixture, duration length, attempt_result answer) -> void
    {
        auto end = fixture.now + length;
        while (fixture.now < end) {
            fixture.advance(tickInterval);
            for (auto& healthCheck : std::exchange(fixture.healthChecks, {}))
                fixture.handle(attempt_event { { healthCheck.service, healthCheck.target, answer, fixture.now, fixture.now, false, true } });
        }
    }

    auto settingsWith(int nodes) -> core_fixture_settings
    {
        auto settings = core_fixture_settings { .nodes = nodes };
        settings.rules.floorPercent = 50;
        return settings;
    }

} // namespace

TEST_CASE("passed health checks start a trial, successful requests end it")
{
    auto fixture = core_fixture { settingsWith(0) };
    eject(fixture, 2);
    advanceAnswering(fixture, seconds(9), attempt_result::Success);
    CHECK(fixture.isIn(2, health_state::Ejected));
    advanceAnswering(fixture, seconds(3), attempt_result::Success);
    CHECK(fixture.isIn(2, health_state::Trial));
    CHECK(fixture.record(2).weight < 1000);
    // Health checks alone do not end a trial.
    advanceAnswering(fixture, seconds(30), attempt_result::Success);
    CHECK(fixture.isIn(2, health_state::Trial));
    for (auto success = 0; success < 10; ++success)
        fixture.attempt(2, attempt_result::Success);
    fixture.advance(seconds(1));
    CHECK(fixture.isIn(2, health_state::Healthy));
}

TEST_CASE("failed health checks keep the target ejected")
{
    auto fixture = core_fixture { settingsWith(0) };
    eject(fixture, 2);
    advanceAnswering(fixture, seconds(60), attempt_result::Silent);
    CHECK(fixture.isIn(2, health_state::Ejected));
}

TEST_CASE("healthy targets get no health checks")
{
    auto fixture = core_fixture { settingsWith(0) };
    for (auto round = 0; round < 100; ++round) {
        fixture.advance(milliseconds(100));
        for (auto target = 0; target < 8; ++target)
            fixture.attempt(target, attempt_result::Success);
    }
    CHECK(fixture.healthChecks.empty());
}

TEST_CASE("repeated ejections last longer, and old ejections expire")
{
    auto fixture = core_fixture { settingsWith(0) };
    auto lastLength = int64_t { 0 };
    for (auto round = 0; round < 4; ++round) {
        eject(fixture, 2);
        auto length = (fixture.record(2).ejectedUntil - fixture.now).milliseconds();
        CHECK(length > lastLength);
        lastLength = length;
        advanceAnswering(fixture, milliseconds(length) + seconds(10), attempt_result::Success);
        REQUIRE(fixture.isIn(2, health_state::Trial));
    }
    for (auto success = 0; success < 12; ++success)
        fixture.attempt(2, attempt_result::Success);
    fixture.advance(minutes(50));
    CHECK(fixture.record(2).recentEjections == 0);
}

TEST_CASE("only one member of the group sends health checks to an ejected target")
{
    auto checking = 0;
    for (auto self = 0; self < 3; ++self) {
        auto settings = settingsWith(3);
        settings.self = self;
        auto fixture = core_fixture { settings };
        eject(fixture, 2);
        fixture.advance(seconds(5));
        checking += fixture.healthChecks.empty() ? 0 : 1;
    }
    CHECK(checking == 1);
}

TEST_CASE("a member starts a trial with another member, but not before its own ejection time nearly ends")
{
    auto settings = settingsWith(3);
    auto fixture = core_fixture { settings };
    eject(fixture, 2);
    auto trial = evidence { fixture.service(), fixture.target(2), health_state::Trial, 0, 0, 0, 0, fixture.now + seconds(30) };
    fixture.handle(evidence_event { fixture.node(1), { trial } });
    CHECK(fixture.isIn(2, health_state::Ejected));
    fixture.advance(seconds(9));
    fixture.handle(evidence_event { fixture.node(1), { trial } });
    CHECK(fixture.isIn(2, health_state::Trial));
}

} // namespace gypsumhub
