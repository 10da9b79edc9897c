#include "gypsumhub/decision/selection/path_monitor.h"

#include <algorithm>
#include <tuple>

namespace gypsumhub {

namespace {

    // One target that does not respond has probably ended.
    constexpr auto minSilentTargets = size_t { 2 };
    // Failures further apart than this have nothing to do with each other.
    constexpr auto evidenceTime = milliseconds(3000);
    constexpr auto unreachableTime = seconds(10);
    constexpr auto minUnreachableShare = 2.0 / 3;
    // Links that lose one packet in eight fail all probes of a round once in several hundred rounds.
    constexpr auto probesPerRound = size_t { 4 };
    constexpr auto roundInterval = milliseconds(1000);
    // While the paths are lost: the delay until requests are sent to targets again, against the cost of finding out.
    constexpr auto recoveryProbeInterval = milliseconds(250);
    // One success may come from a path that works only now and then.
    constexpr auto probesToRegain = size_t { 2 };

} // namespace

path_monitor::path_monitor(uint64_t seed)
    : m_random(seed)
{
}

auto path_monitor::change(bool areLost) -> void
{
    m_areLost = areLost;
    m_successfulProbes = 0;
    m_probing.clear();
    m_failures.clear();
    if (!areLost)
        m_unreachable.clear();
    if (m_listener)
        m_listener(areLost);
}

auto path_monitor::recordConnected(std::string_view target, time_point now) -> void
{
    m_connectedAt = now;
    if (auto found = m_unreachable.find(target); found != m_unreachable.end())
        m_unreachable.erase(found);
    if (m_areLost) {
        if (std::erase(m_probing, target) > 0 && ++m_successfulProbes >= probesToRegain)
            change(false);
        return;
    }
    m_failures.clear();
    m_probing.clear();
}

auto path_monitor::recordConnectFailure(std::string_view target, time_point startedAt, time_point now) -> void
{
    std::erase_if(m_unreachable, [&](auto& entry) { return entry.second + unreachableTime < now; });
    m_unreachable.insert_or_assign(std::string(target), now);
    if (startedAt > m_connectedAt)
        addFailure(target, startedAt, now);
    auto isLastProbe = false;
    if (std::erase(m_probing, target) > 0) {
        m_successfulProbes = 0;
        isLastProbe = m_probing.empty();
    }
    if (!m_areLost && (isLastProbe || areMostUnreachable()))
        change(true);
}

auto path_monitor::areMostUnreachable() const -> bool
{
    return m_targetCount > 0 && m_unreachable.size() >= minSilentTargets && static_cast<double>(m_unreachable.size()) >= minUnreachableShare * static_cast<double>(m_targetCount);
}

auto path_monitor::recordNoAnswer(std::string_view target, time_point sentAt, time_point now) -> void
{
    if (sentAt > m_connectedAt && sentAt > m_answeredAt)
        addFailure(target, sentAt, now);
}

auto path_monitor::addFailure(std::string_view target, time_point startedAt, time_point now) -> void
{
    if (m_areLost)
        return;
    std::erase_if(m_failures, [&](auto& failure) { return failure.second + evidenceTime < now; });
    m_firstFailureAt = m_failures.empty() ? startedAt : std::min(m_firstFailureAt, startedAt);
    m_failures.insert_or_assign(std::string(target), now);
}

auto path_monitor::isProbeDue(time_point now) const -> bool
{
    auto isSuspected = m_failures.size() >= std::clamp<size_t>(m_targetCount, 1, minSilentTargets);
    return m_targetCount > 0 && m_probing.empty() && now >= m_nextProbesAt && (m_areLost || isSuspected);
}

auto path_monitor::beginProbes(std::span<const probe_candidate> candidates, time_point now) -> std::vector<std::string>
{
    m_nextProbesAt = now + (m_areLost ? recoveryProbeInterval : roundInterval);
    auto left = std::vector<probe_candidate>(candidates.begin(), candidates.end());
    std::ranges::shuffle(left, m_random);
    auto dataCentres = std::map<std::string_view, size_t> {};
    auto count = std::min(left.size(), m_areLost ? size_t { 1 } : probesPerRound);
    while (m_probing.size() < count) {
        // Whether the paths are lost is best told by targets that are probably good, in different data centres, which rarely fail
        // together; whether they are regained by targets that were out of reach.
        auto best = std::ranges::min_element(left, {}, [&](const probe_candidate& candidate) {
            auto& target = *candidate.registration;
            return std::tuple(m_unreachable.contains(target.id) != m_areLost, !candidate.isProbablyGood, dataCentres[target.dataCentre]);
        });
        ++dataCentres[best->registration->dataCentre];
        m_probing.push_back(best->registration->id);
        left.erase(best);
    }
    return m_probing;
}

} // namespace gypsumhub
