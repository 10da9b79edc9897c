#include "gypsumhub/decision/decision_core.h"

#include "unit_tests/decision/core_fixture.h"

#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("the first configuration publishes every registered target with all its slots")
{
    auto fixture = core_fixture { { .targets = 8, .slots = 4 } };
    REQUIRE(fixture.snapshot());
    auto& view = fixture.view();
    CHECK(view.targets.size() == 8);
    CHECK(view.servedHere);
    for (auto& target : view.targets)
        CHECK(target.slotShare == 4);
}

TEST_CASE("VMs that are leaving on the platform's list or absent from it are not in the snapshot")
{
    auto fixture = core_fixture { { .targets = 8 } };
    auto list = vm_list_event {};
    for (auto index = 0; index < 6; ++index)
        list.live.push_back(fixture.target(index));
    list.leaving.push_back(fixture.target(6));
    fixture.handle(list);
    CHECK(fixture.view().targets.size() == 6);
    CHECK(fixture.isIn(6, health_state::Leaving));
    CHECK(fixture.isIn(7, health_state::Leaving));
}

} // namespace gypsumhub
