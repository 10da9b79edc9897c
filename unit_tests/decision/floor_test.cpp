#include "unit_tests/decision/core_fixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace gypsumhub {

namespace {

    auto floorSettings(uint32_t floorPercent) -> core_fixture_settings
    {
        auto settings = core_fixture_settings { .nodes = 3 };
        settings.rules.floorPercent = floorPercent;
        settings.rules.preference = ejection_preference::FastDetection;
        return settings;
    }

    auto makeUnhealthy(core_fixture& fixture, int target, int failures = 8) -> void
    {
        for (auto failure = 0; failure < failures; ++failure) {
            fixture.attempt(target, attempt_result::MismatchedAnswer);
            // The siblings succeed meanwhile; without them the failures would count as a failure of the service.
            for (auto sibling = 3; sibling < 8; ++sibling)
                fixture.attempt(sibling, attempt_result::Success);
        }
        fixture.advance(milliseconds(100));
    }

    auto applyFloorPercent(core_fixture& fixture, uint32_t percent) -> void
    {
        auto settings = floorSettings(percent);
        fixture.handle(configuration_event { makeFixtureConfiguration(settings) });
    }

    auto listWithout(const core_fixture& fixture, std::vector<int> gone) -> vm_list_event
    {
        auto list = vm_list_event {};
        for (auto index = 0; index < 8; ++index) {
            if (std::ranges::find(gone, index) == gone.end())
                list.live.push_back(fixture.target(index));
        }
        return list;
    }

    /// The invariant of `floor_controller`: min(floor, registered targets that are not leaving or gone).
    auto requiredInRotation(const core_fixture& fixture) -> size_t
    {
        auto& service = *fixture.core.board().findService(fixture.service());
        auto available = std::ranges::count_if(service.targets, [&](auto& target) { return !isDeparting(target, fixture.now); });
        return std::min(service.floorCount(), static_cast<size_t>(available));
    }

    /// Applies one event that is derived from arbitrary numbers.
    auto applyRandom(core_fixture& fixture, int kind, int value) -> void
    {
        auto target = value % 8;
        switch (kind) {
        case 0:
            fixture.handle(listWithout(fixture, { target, value / 8 % 8 }));
            return;
        case 1:
            applyFloorPercent(fixture, static_cast<uint32_t>(value % 101));
            return;
        case 2: {
            auto item = evidence { fixture.service(), fixture.target(target), health_state::Ejected, value % 30'000, 0, 10, 5, fixture.now + seconds(10) };
            fixture.handle(evidence_event { fixture.node(1 + value % 2), { item } });
            return;
        }
        case 3:
            fixture.attempt(target, attempt_result::Draining);
            return;
        case 4:
            fixture.advance(seconds(value % 40));
            return;
        case 5:
            fixture.handle(peer_lost_event { fixture.node(1) });
            return;
        case 6:
            fixture.attempt(target, attempt_result::Success);
            return;
        default:
            makeUnhealthy(fixture, target, 1 + value % 9);
        }
    }

} // namespace

TEST_CASE("an unhealthy target that the floor keeps in rotation is demoted, and the reason names the floor")
{
    auto fixture = core_fixture { floorSettings(75) };
    makeUnhealthy(fixture, 0);
    makeUnhealthy(fixture, 1);
    makeUnhealthy(fixture, 2, 8);
    CHECK(fixture.isIn(0, health_state::Ejected));
    CHECK(fixture.isIn(1, health_state::Ejected));
    CHECK(fixture.isIn(2, health_state::Demoted));
    CHECK(fixture.record(2).weight == unhealthyWeight);
    CHECK(fixture.core.explain(fixture.service(), fixture.now).find("kept in rotation by the floor") != std::string::npos);
}

TEST_CASE("a target with a much higher score replaces an ejected one")
{
    // The floor allows one ejection.
    auto fixture = core_fixture { floorSettings(85) };
    makeUnhealthy(fixture, 0, 4);
    REQUIRE(fixture.isIn(0, health_state::Ejected));
    makeUnhealthy(fixture, 1, 14);
    CHECK(fixture.isIn(1, health_state::Ejected));
    CHECK(fixture.isIn(0, health_state::Demoted));
}

TEST_CASE("raising the floor returns targets to rotation at once, lowering it ejects them again")
{
    auto fixture = core_fixture { floorSettings(50) };
    makeUnhealthy(fixture, 0);
    makeUnhealthy(fixture, 1);
    REQUIRE(fixture.inRotation() == 6);
    applyFloorPercent(fixture, 100);
    CHECK(fixture.inRotation() == 8);
    applyFloorPercent(fixture, 50);
    CHECK(fixture.inRotation() == 6);
}

TEST_CASE("gone VMs reduce the number of targets that may be ejected")
{
    auto fixture = core_fixture { floorSettings(75) };
    makeUnhealthy(fixture, 0);
    makeUnhealthy(fixture, 1);
    REQUIRE(fixture.inRotation() == 6);
    fixture.handle(listWithout(fixture, { 6, 7 }));
    CHECK(fixture.inRotation() == 6);
    CHECK(fixture.isIn(0, health_state::Demoted));
}

TEST_CASE("no snapshot has fewer targets than the floor requires")
{
    // A fixed seed makes the result reproducible.
    auto parameters = rc::detail::TestParams {};
    parameters.seed = 20261204;
    parameters.maxSuccess = 300;
    auto property = [](const std::vector<std::pair<uint16_t, uint16_t>>& schedule) {
        auto fixture = core_fixture { floorSettings(70) };
        for (auto& [kind, value] : schedule) {
            applyRandom(fixture, kind % 12, value);
            RC_ASSERT(fixture.inRotation() >= requiredInRotation(fixture));
        }
    };
    auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, parameters);
    CHECK(result.template is<rc::detail::SuccessResult>());
}

} // namespace gypsumhub
