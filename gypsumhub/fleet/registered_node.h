#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/fleet/control_meter.h"
#include "gypsumhub/fleet/peer_transport_settings.h"

#include <cstdint>
#include <map>
#include <vector>

namespace gypsumhub {

/// Key and location of a node of the register. Data centres and regions are numbered in order of name.
struct registered_node {
    node_key key;
    uint16_t dataCentre { 0 };
    uint16_t region { 0 };

    auto operator<=>(const registered_node&) const = default;
};

/// The nodes of a configuration in order of key.
auto registeredNodes(const configuration&) -> std::vector<registered_node>;

/// The distance between two nodes.
auto distanceBetween(const registered_node&, const registered_node&) -> peer_distance;

/// The addresses and distances of all nodes but `self`, for `peer_transport::setPeers`.
auto peerAddresses(const configuration&, node_key self) -> std::map<node_key, peer_address>;

} // namespace gypsumhub
