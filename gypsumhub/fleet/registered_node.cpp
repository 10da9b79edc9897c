#include "gypsumhub/fleet/registered_node.h"

#include <algorithm>
#include <string_view>

namespace gypsumhub {

namespace {

    // The region of a data centre; a data centre that is not registered is a region of its own.
    auto regionOf(const configuration& config, std::string_view dataCentre) -> std::string_view
    {
        auto found = config.dataCentres.find(dataCentre);
        return found == config.dataCentres.end() ? dataCentre : std::string_view(found->second.region);
    }

    // Position of `name` in the sorted list of names.
    auto indexOf(const std::vector<std::string_view>& names, std::string_view name) -> uint16_t
    {
        return static_cast<uint16_t>(std::ranges::lower_bound(names, name) - names.begin());
    }

    auto sortUnique(std::vector<std::string_view>& names) -> void
    {
        std::ranges::sort(names);
        auto [first, last] = std::ranges::unique(names);
        names.erase(first, last);
    }

} // namespace

auto registeredNodes(const configuration& config) -> std::vector<registered_node>
{
    auto dataCentres = std::vector<std::string_view> {};
    auto regions = std::vector<std::string_view> {};
    for (auto& [name, node] : config.nodes) {
        dataCentres.push_back(node.dataCentre);
        regions.push_back(regionOf(config, node.dataCentre));
    }
    sortUnique(dataCentres);
    sortUnique(regions);

    auto nodes = std::vector<registered_node> {};
    nodes.reserve(config.nodes.size());
    for (auto& [name, node] : config.nodes)
        nodes.push_back({ node.key, indexOf(dataCentres, node.dataCentre), indexOf(regions, regionOf(config, node.dataCentre)) });
    std::ranges::sort(nodes);
    return nodes;
}

auto distanceBetween(const registered_node& a, const registered_node& b) -> peer_distance
{
    if (a.region != b.region)
        return peer_distance::OtherRegion;
    return a.dataCentre == b.dataCentre ? peer_distance::SameDataCentre : peer_distance::SameRegion;
}

auto peerAddresses(const configuration& config, node_key self) -> std::map<node_key, peer_address>
{
    auto nodes = registeredNodes(config);
    auto own = std::ranges::lower_bound(nodes, self, {}, &registered_node::key);
    auto selfIsRegistered = own != nodes.end() && own->key == self;
    auto byNode = std::map<node_key, peer_address> {};
    for (auto& [name, spec] : config.nodes) {
        if (spec.key == self)
            continue;
        auto node = std::ranges::lower_bound(nodes, spec.key, {}, &registered_node::key);
        auto distance = selfIsRegistered ? distanceBetween(*own, *node) : peer_distance::SameDataCentre;
        byNode[spec.key] = { spec.peerAddress, distance };
    }
    return byNode;
}

} // namespace gypsumhub
