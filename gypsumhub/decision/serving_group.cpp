#include "gypsumhub/decision/serving_group.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <tuple>

namespace gypsumhub {

namespace {

    /// A candidate with its rendezvous hash; the highest hash ranks first.
    struct ranked_node {
        uint64_t weight;
        node_key key;
    };

    auto precedes(const ranked_node& a, const ranked_node& b) -> bool
    {
        return std::tuple(b.weight, a.key) < std::tuple(a.weight, b.key);
    }

    auto rank(service_key service, node_key node) -> ranked_node
    {
        return { mixHashes(service.value, node.value), node };
    }

    // Inserts into the best nodes of one data centre, in order of rank. The list is short, so this is cheaper than a heap.
    auto insertRanked(std::vector<ranked_node>& best, const ranked_node& node, uint32_t limit) -> void
    {
        if (best.size() == limit && (limit == 0 || !precedes(node, best.back())))
            return;
        best.insert(std::ranges::upper_bound(best, node, precedes), node);
        if (best.size() > limit)
            best.pop_back();
    }

} // namespace

auto ranksBefore(service_key service, node_key a, node_key b) -> bool
{
    return precedes(rank(service, a), rank(service, b));
}

auto membersPerDataCentre(uint32_t slots, size_t dataCentres, uint32_t maximum) -> uint32_t
{
    auto count = static_cast<uint32_t>(std::max<size_t>(dataCentres, 1));
    auto minimum = count > 1 ? 1U : 2U;
    return std::min(std::max(slots / (count * slotsPerMember), minimum), maximum);
}

auto chooseServingGroup(service_key service, std::span<const group_candidate> candidates, uint32_t membersPerDataCentre)
    -> std::vector<node_key>
{
    auto bestByDataCentre = std::vector<std::vector<ranked_node>> {};
    for (auto& candidate : candidates) {
        if (bestByDataCentre.size() <= candidate.dataCentre.value)
            bestByDataCentre.resize(candidate.dataCentre.value + 1U);
        insertRanked(bestByDataCentre[candidate.dataCentre.value], rank(service, candidate.key), membersPerDataCentre);
    }
    auto group = std::vector<node_key> {};
    for (auto& best : bestByDataCentre) {
        for (auto& node : best)
            group.push_back(node.key);
    }
    return group;
}

} // namespace gypsumhub
