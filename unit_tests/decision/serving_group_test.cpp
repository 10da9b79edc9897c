#include "gypsumhub/decision/serving_group.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace gypsumhub {

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
