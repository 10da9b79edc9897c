#include "gypsumhub/decision/selection/relay_choice.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

auto relayOrder(std::vector<node_registration> nodes, random_generator& random) -> std::vector<node_registration>
{
    constexpr auto minCores = 0.01;
    // Weighted random order: the smallest of exponentially distributed numbers, with the weights as rates (Efraimidis, Spirakis 2006).
    auto keyed = std::vector<std::pair<double, node_registration>> {};
    for (auto& node : nodes) {
        auto key = -std::log(1 - random.unit()) / std::max(node.size.cores, minCores);
        keyed.emplace_back(key, std::move(node));
    }
    std::ranges::sort(keyed, {}, [](auto& entry) { return entry.first; });
    auto ordered = std::vector<node_registration> {};
    for (auto& [key, node] : keyed)
        ordered.push_back(std::move(node));
    return ordered;
}

} // namespace gypsumhub
