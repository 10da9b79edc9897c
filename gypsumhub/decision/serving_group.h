#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/strong_id.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// A node that could belong to a serving group.
struct group_candidate {
    node_key key;
    data_centre_index dataCentre;
};

/// Whether `a` comes before `b` in the rendezvous order of a service.
auto ranksBefore(service_key, node_key a, node_key b) -> bool;

/// Chooses the serving group of a service by rendezvous hashing: in each data centre the `membersPerDataCentre` candidates
/// with the highest mixed hash. Losing one candidate changes at most one member. The result is in order of data centre, then rank.
/// Takes time in proportion to the number of candidates.
auto chooseServingGroup(service_key, std::span<const group_candidate>, uint32_t membersPerDataCentre) -> std::vector<node_key>;

} // namespace gypsumhub
