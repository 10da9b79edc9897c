#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/membership_view.h"

#include <vector>

namespace gypsumhub {

/// Puts nodes in the order in which a request is relayed to them: random, in proportion to their cores, so that the load of a node
/// that has lost its paths to the targets is shared by all nodes that can help.
auto relayOrder(std::vector<node_registration>, random_generator&) -> std::vector<node_registration>;

} // namespace gypsumhub
