#include "gypsumhub/decision/serving_group.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("the size of a group depends on the service's slots, within its limits")
{
    // 18 VMs of 4 slots and 8 of 3 slots in 4 data centres, two large services, and one with two slots.
    CHECK(membersPerDataCentre(72, 4, 3) == 2);
    CHECK(membersPerDataCentre(24, 4, 3) == 1);
    CHECK(membersPerDataCentre(100, 5, 3) == 2);
    CHECK(membersPerDataCentre(1000, 5, 3) == 3);
    CHECK(membersPerDataCentre(2, 4, 3) == 1);
    // In a single data centre, a group has two members, so that one may fail.
    CHECK(membersPerDataCentre(8, 1, 3) == 2);
    CHECK(membersPerDataCentre(8, 1, 1) == 1);
}

TEST_CASE("losing one of 40 nodes changes at most one member of each serving group")
{
    auto all = std::vector<group_candidate> {};
    for (auto node = uint64_t { 1 }; node <= 40; ++node)
        all.push_back({ { node * 7919 }, { static_cast<uint16_t>(node % 4) } });
    for (auto service = uint64_t { 1 }; service <= 50; ++service) {
        auto before = chooseServingGroup({ service }, all, 3);
        REQUIRE(before.size() == 12);
        auto fewer = all;
        std::erase_if(fewer, [&](auto& candidate) { return candidate.key == before.front(); });
        auto after = chooseServingGroup({ service }, fewer, 3);
        auto kept = std::ranges::count_if(before, [&](auto key) { return std::ranges::find(after, key) != after.end(); });
        CHECK(kept == 11);
    }
}

} // namespace gypsumhub
