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

/// Whether `a` ranks before `b` in the rendezvous order of a service.
auto ranksBefore(service_key, node_key a, node_key b) -> bool;

/// Number of members of a service's group in each data centre. Small enough that each member has `slotsPerMember` slots, and
/// thereby enough targets to compare and enough exchanges as evidence; at most `maximum`, and at least two members in all
/// unless `maximum` forbids it.
auto membersPerDataCentre(uint32_t slots, size_t dataCentres, uint32_t maximum) -> uint32_t;

/// Minimum slots per member of a serving group, unless the group would become too small.
constexpr auto slotsPerMember = uint32_t { 8 };

/// Chooses the serving group of a service by rendezvous hashing: in each data centre the `membersPerDataCentre` candidates
/// with the highest mixed hash. Removing one candidate changes at most one member. The result is in order of data centre, then
/// rank. The run time is proportional to the number of candidates.
auto chooseServingGroup(service_key, std::span<const group_candidate>, uint32_t membersPerDataCentre) -> std::vector<node_key>;

} // namespace gypsumhub
