#include "gypsumhub/decision/decision_core.h"

#include "unit_tests/decision/core_fixture.h"

#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("the first configuration publishes every registered target with all its slots")
{
    auto bench = core_fixture { { .targets = 8, .slots = 4 } };
    REQUIRE(bench.snapshot());
    auto& view = bench.view();
    CHECK(view.targets.size() == 8);
    CHECK(view.servedHere);
    for (auto& target : view.targets)
        CHECK(target.slotShare == 4);
}

TEST_CASE("VMs that the platform's list calls leaving or does not name get nothing new")
{
    auto bench = core_fixture { { .targets = 8 } };
    auto list = vm_list_event {};
    for (auto index = 0; index < 6; ++index)
        list.live.push_back(bench.target(index));
    list.leaving.push_back(bench.target(6));
    bench.handle(list);
    CHECK(bench.view().targets.size() == 6);
    CHECK(bench.isIn(6, health_state::Leaving));
    CHECK(bench.isIn(7, health_state::Leaving));
}

} // namespace gypsumhub
