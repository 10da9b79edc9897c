#include "gypsumhub/fleet/probe_schedule.h"

#include <utility>

namespace gypsumhub {

probe_schedule::probe_schedule(uint32_t deadProbePeriod, uint32_t crossRegionRoundPeriod)
    : m_deadProbePeriod(deadProbePeriod)
    , m_crossRegionRoundPeriod(crossRegionRoundPeriod)
{
}

auto probe_schedule::next(const contact_rings& rings, const member_table& table, random_generator& random) -> std::optional<node_key>
{
    ++m_count;
    if (m_deadProbePeriod != 0 && m_count % m_deadProbePeriod == 0) {
        auto isDead = [](const member& entry) { return !entry.isReachable(); };
        if (auto dead = table.pick(random, isDead))
            return dead;
    }
    if (m_round.empty())
        beginRound(rings, random);
    if (m_round.empty())
        return std::nullopt;
    auto subject = m_round.back();
    m_round.pop_back();
    return subject;
}

auto probe_schedule::beginRound(const contact_rings& rings, random_generator& random) -> void
{
    // Traffic between regions is billed by volume, and a node in another region is also probed from its own region.
    auto contacts = ++m_roundCount % m_crossRegionRoundPeriod == 0 ? rings.contacts() : rings.regionalContacts();
    m_round.assign(contacts.begin(), contacts.end());
    for (auto index = m_round.size(); index > 1; --index)
        std::swap(m_round[index - 1], m_round[random.below(index)]);
}

} // namespace gypsumhub
