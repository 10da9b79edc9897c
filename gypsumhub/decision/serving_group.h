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

/// Members of a service's group in each data centre: few enough that each has `slotsPerMember` slots, and so enough targets to
/// compare and enough exchanges to judge by; at most `most`, and at least two in all as far as that allows.
auto membersPerDataCentre(uint32_t slots, size_t dataCentres, uint32_t most) -> uint32_t;

/// Slots that a member of a serving group has for itself, unless the group would become too small.
constexpr auto slotsPerMember = uint32_t { 8 };

/// Chooses the serving group of a service by rendezvous hashing: in each data centre the `membersPerDataCentre` candidates
/// with the highest mixed hash. Losing one candidate changes at most one member. The result is in order of data centre, then rank.
/// Takes time in proportion to the number of candidates.
auto chooseServingGroup(service_key, std::span<const group_candidate>, uint32_t membersPerDataCentre) -> std::vector<node_key>;

} // namespace gypsumhub
