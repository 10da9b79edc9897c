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

    auto makeSick(core_fixture& bench, int target, int failures = 8) -> void
    {
        for (auto failure = 0; failure < failures; ++failure) {
            bench.attempt(target, attempt_result::MismatchedAnswer);
            // The others do well meanwhile; without them nothing tells a sick VM from a sick service.
            for (auto sibling = 3; sibling < 8; ++sibling)
                bench.attempt(sibling, attempt_result::Success);
        }
        bench.advance(milliseconds(100));
    }

    auto applyFloorPercent(core_fixture& bench, uint32_t percent) -> void
    {
        auto settings = floorSettings(percent);
        bench.handle(configuration_event { makeFixtureConfiguration(settings) });
    }

    auto listWithout(const core_fixture& bench, std::vector<int> gone) -> vm_list_event
    {
        auto list = vm_list_event {};
        for (auto index = 0; index < 8; ++index) {
            if (std::ranges::find(gone, index) == gone.end())
                list.live.push_back(bench.target(index));
        }
        return list;
    }

    /// min(floor, registered targets that are not leaving or gone).
    auto requiredInRotation(const core_fixture& bench) -> size_t
    {
        auto& service = *bench.core.board().findService(bench.service());
        auto available = std::ranges::count_if(service.targets, [&](auto& target) { return !isDeparting(target, bench.now); });
        return std::min(service.floorCount(), static_cast<size_t>(available));
    }

    /// One random event; `kind` and `value` are arbitrary.
    auto applyRandom(core_fixture& bench, int kind, int value) -> void
    {
        auto target = value % 8;
        switch (kind) {
        case 0:
            bench.handle(listWithout(bench, { target, value / 8 % 8 }));
            return;
        case 1:
            applyFloorPercent(bench, static_cast<uint32_t>(value % 101));
            return;
        case 2: {
            auto item = evidence { bench.service(), bench.target(target), health_state::Ejected, value % 30'000, 0, 10, 5, bench.now + seconds(10) };
            bench.handle(evidence_event { bench.node(1 + value % 2), { item } });
            return;
        }
        case 3:
            bench.attempt(target, attempt_result::Draining);
            return;
        case 4:
            bench.advance(seconds(value % 40));
            return;
        case 5:
            bench.handle(peer_lost_event { bench.node(1) });
            return;
        case 6:
            bench.attempt(target, attempt_result::Success);
            return;
        default:
            makeSick(bench, target, 1 + value % 9);
        }
    }

} // namespace

TEST_CASE("the floor keeps the least sick in, demoted and explained")
{
    auto bench = core_fixture { floorSettings(75) };
    makeSick(bench, 0);
    makeSick(bench, 1);
    makeSick(bench, 2, 8);
    CHECK(bench.isIn(0, health_state::Ejected));
    CHECK(bench.isIn(1, health_state::Ejected));
    CHECK(bench.isIn(2, health_state::Demoted));
    CHECK(bench.record(2).weight == unhealthyWeight);
    CHECK(bench.core.explain(bench.service(), bench.now).find("kept in by the floor") != std::string::npos);
}

TEST_CASE("a much sicker target takes the place of one set aside")
{
    // One may be out.
    auto bench = core_fixture { floorSettings(85) };
    makeSick(bench, 0, 4);
    REQUIRE(bench.isIn(0, health_state::Ejected));
    makeSick(bench, 1, 14);
    CHECK(bench.isIn(1, health_state::Ejected));
    CHECK(bench.isIn(0, health_state::Demoted));
}

TEST_CASE("raising the floor takes targets back at once, lowering it lets them go")
{
    auto bench = core_fixture { floorSettings(50) };
    makeSick(bench, 0);
    makeSick(bench, 1);
    REQUIRE(bench.inRotation() == 6);
    applyFloorPercent(bench, 100);
    CHECK(bench.inRotation() == 8);
    applyFloorPercent(bench, 50);
    CHECK(bench.inRotation() == 6);
}

TEST_CASE("leaving and gone VMs use up what may be ejected")
{
    auto bench = core_fixture { floorSettings(75) };
    makeSick(bench, 0);
    makeSick(bench, 1);
    REQUIRE(bench.inRotation() == 6);
    bench.handle(listWithout(bench, { 6, 7 }));
    CHECK(bench.inRotation() == 6);
    CHECK(bench.isIn(0, health_state::Demoted));
}

TEST_CASE("no snapshot ever shows fewer targets than the floor demands")
{
    // Fixed seed: the same verdict every time.
    auto parameters = rc::detail::TestParams {};
    parameters.seed = 20261204;
    parameters.maxSuccess = 300;
    auto property = [](const std::vector<std::pair<uint16_t, uint16_t>>& schedule) {
        auto bench = core_fixture { floorSettings(70) };
        for (auto& [kind, value] : schedule) {
            applyRandom(bench, kind % 12, value);
            RC_ASSERT(bench.inRotation() >= requiredInRotation(bench));
        }
    };
    auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, parameters);
    CHECK(result.template is<rc::detail::SuccessResult>());
}

} // namespace gypsumhub
