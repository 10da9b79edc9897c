#include "gypsumhub/fleet/probe_table.h"

#include <algorithm>

namespace gypsumhub {

auto probe_table::add(outstanding_probe probe) -> uint64_t
{
    probe.sequence = ++m_lastSequence;
    m_probes.push_back(probe);
    return probe.sequence;
}

auto probe_table::find(uint64_t sequence) -> outstanding_probe*
{
    auto found = std::ranges::find(m_probes, sequence, &outstanding_probe::sequence);
    return found == m_probes.end() ? nullptr : &*found;
}

auto probe_table::take(uint64_t sequence) -> std::optional<outstanding_probe>
{
    auto found = std::ranges::find(m_probes, sequence, &outstanding_probe::sequence);
    if (found == m_probes.end())
        return std::nullopt;
    auto probe = *found;
    m_probes.erase(found);
    return probe;
}

auto probe_table::takeFailed(time_point now) -> std::vector<outstanding_probe>
{
    auto failed = std::vector<outstanding_probe> {};
    std::erase_if(m_probes, [&](auto& probe) {
        if (probe.failsAt > now)
            return false;
        failed.push_back(probe);
        return true;
    });
    return failed;
}

auto probe_table::findOverdue(time_point now) -> outstanding_probe*
{
    auto isOverdue = [&](auto& probe) { return !probe.origin && !probe.indirectProbesRequested && probe.indirectProbesAt <= now; };
    auto found = std::ranges::find_if(m_probes, isOverdue);
    return found == m_probes.end() ? nullptr : &*found;
}

} // namespace gypsumhub
