#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/fleet/contact_rings.h"
#include "gypsumhub/fleet/member_table.h"

#include <optional>
#include <vector>

namespace gypsumhub {

/// Chooses the next node to probe: contacts in this region once per round in random order, contacts in other regions in some
/// rounds, and now and then a dead node, so that partitioned regions rejoin.
class probe_schedule {
public:
    /// Every `deadProbePeriod`th probe goes to a dead node if there is one; 0 turns this off. Contacts in other regions are probed
    /// every `crossRegionRoundPeriod`th round.
    probe_schedule(uint32_t deadProbePeriod, uint32_t crossRegionRoundPeriod);

    auto next(const contact_rings&, const member_table&, random_generator&) -> std::optional<node_key>;

private:
    auto beginRound(const contact_rings&, random_generator&) -> void;

    uint32_t m_deadProbePeriod;
    uint32_t m_crossRegionRoundPeriod;
    uint32_t m_roundCount { 0 };
    uint64_t m_count { 0 };
    /// Contacts still to be probed in this round.
    std::vector<node_key> m_round;
};

} // namespace gypsumhub
