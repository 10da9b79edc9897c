#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/fleet/member_table.h"

#include <optional>
#include <span>
#include <vector>

namespace gypsumhub {

/// Decides whom to probe next: all contacts once in each round in random order, and now and then a node believed dead, which is
/// how parted regions find each other again.
class probe_schedule {
public:
    /// Every `deadProbePeriod`th probe goes to a dead node if there is one; 0 for none.
    explicit probe_schedule(uint32_t deadProbePeriod);

    auto next(std::span<const node_key> contacts, const member_table&, random_generator&) -> std::optional<node_key>;

private:
    uint32_t m_deadProbePeriod;
    uint64_t m_count { 0 };
    /// Contacts still to be probed in this round.
    std::vector<node_key> m_round;
};

} // namespace gypsumhub
