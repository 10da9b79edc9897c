#include "gypsumhub/decision/serving_group.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <tuple>

namespace gypsumhub {

namespace {

    struct ranked_candidate {
        data_centre_index dataCentre;
        uint64_t weight;
        node_key key;
    };

    auto precedes(const ranked_candidate& a, const ranked_candidate& b) -> bool
    {
        return std::tuple(a.dataCentre, b.weight, a.key) < std::tuple(b.dataCentre, a.weight, b.key);
    }

} // namespace

auto chooseServingGroup(service_key service, std::span<const group_candidate> candidates, uint32_t membersPerDataCentre)
    -> std::vector<node_key>
{
    auto ranked = std::vector<ranked_candidate> {};
    ranked.reserve(candidates.size());
    for (auto& candidate : candidates)
        ranked.push_back({ candidate.dataCentre, mixHashes(service.value, candidate.key.value), candidate.key });
    std::ranges::sort(ranked, precedes);

    // Take the first few of each data centre.
    auto group = std::vector<node_key> {};
    auto taken = uint32_t { 0 };
    for (auto index = size_t { 0 }; index < ranked.size(); ++index) {
        if (index == 0 || ranked[index].dataCentre != ranked[index - 1].dataCentre)
            taken = 0;
        if (taken++ < membersPerDataCentre)
            group.push_back(ranked[index].key);
    }
    return group;
}

} // namespace gypsumhub
