#include "gypsumhub/decision/controllers/trial_controller.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto ejectedProbeInterval = seconds(3);
    constexpr auto suspectProbeInterval = milliseconds(250);
    constexpr auto pathProbeInterval = seconds(2);
    constexpr auto shortestProbeDeadline = milliseconds(250);
    constexpr auto longestProbeDeadline = seconds(1);
    constexpr auto probesForTrial = 3U;
    constexpr auto successesForHealth = 10U;
    constexpr auto shortestTrial = seconds(3);
    /// How long a member that was not notified of the trial may still report the target as ejected.
    constexpr auto staleEjection = seconds(45);
    constexpr auto trialWeight = uint16_t { 100 };
    constexpr auto fullWeight = uint16_t { 1000 };
    /// How often another member probes for the group, so that a member with a failed path cannot keep a target ejected.
    constexpr auto proberRotation = seconds(30);
    constexpr auto ejectionMemory = minutes(10);

} // namespace

trial_controller::trial_controller(blackboard& board)
    : m_board(board)
{
}

auto trial_controller::advance(service_record& service) -> void
{
    if (!service.servedHere)
        return;
    for (auto& target : service.targets) {
        if (target.recentEjections > 0 && m_board.now >= target.ejectionExpiresAt) {
            --target.recentEjections;
            target.ejectionExpiresAt = m_board.now + ejectionMemory;
        }
        if (target.state == health_state::Ejected)
            advanceEjected(service, target);
        else if (target.state == health_state::Trial)
            advanceTrial(service, target);
        else if (target.state != health_state::Leaving && target.probeRequested && m_board.now >= target.nextProbeAt)
            startProbe(service, target, target.pathSuspected ? pathProbeInterval : suspectProbeInterval);
    }
}

auto trial_controller::advanceEjected(service_record& service, target_record& target) -> void
{
    if (target.probesPassed >= probesForTrial && m_board.now >= target.ejectedUntil) {
        startTrial(service, target, "health probes passed and the ejection time is over");
        return;
    }
    if (m_board.now >= target.nextProbeAt && isProber(service, target))
        startProbe(service, target, ejectedProbeInterval);
}

auto trial_controller::startTrial(service_record& service, target_record& target, const char* reason) -> void
{
    // Earlier evidence led to the ejection and must not count again. Only evidence from members that also run a trial is kept.
    target.scores = {};
    std::erase_if(target.peerEvidence, [](auto& entry) { return entry.item.state != health_state::Trial; });
    target.trialSuccesses = 0;
    target.earliestTrialEnd = m_board.now + shortestTrial;
    target.ignorePeerEjectionsUntil = m_board.now + staleEjection;
    m_board.changeWeight(service, target, trialWeight);
    m_board.changeState(service, target, health_state::Trial, reason);
}

auto trial_controller::advanceTrial(service_record& service, target_record& target) -> void
{
    if (target.unhealthy || target.trialSuccesses < successesForHealth || m_board.now < target.earliestTrialEnd)
        return;
    m_board.changeWeight(service, target, fullWeight);
    m_board.changeState(service, target, health_state::Healthy, "passed its trial");
}

auto trial_controller::startProbe(service_record& service, target_record& target, duration untilNext) -> void
{
    target.probeRequested = false;
    target.nextProbeAt = m_board.now + untilNext;
    auto deadline = m_board.now + std::clamp(service.overdueAfter, shortestProbeDeadline, longestProbeDeadline);
    m_board.outbox.emplace_back(start_probe_command { service.spec->key, target.key, target.address, deadline });
}

auto trial_controller::isProber(const service_record& service, const target_record& target) const -> bool
{
    auto term = static_cast<uint64_t>(m_board.now.ns / proberRotation.ns);
    auto rankOf = [&](const member_view& member) { return mixHashes(mixHashes(target.key.value, term), member.key.value); };
    auto prober = std::ranges::max_element(service.group, {}, rankOf);
    return prober == service.group.end() || prober->key == m_board.settings.self;
}

} // namespace gypsumhub
