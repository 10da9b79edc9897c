#include "gypsumhub/decision/controllers/evidence_controller.h"

#include "gypsumhub/decision/detection_thresholds.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    /// Token bucket for evidence: refill rate, capacity in bytes, and the approximate sizes on the wire.
    constexpr auto bytesPerSecond = 1500.0F;
    constexpr auto budgetLimit = 15000.0F;
    constexpr auto messageBytes = 64.0F;
    constexpr auto itemBytes = 56.0F;

    constexpr auto ejectedValidity = seconds(30);
    constexpr auto drainingValidity = seconds(120);
    constexpr auto longestValidity = seconds(120);
    /// How long before the end of its own ejection time a member starts a trial because another member did.
    constexpr auto trialTolerance = seconds(2);
    constexpr auto replyInterval = seconds(1);
    /// A score is sent to the group again when it grows by at least this much, in thousandths of a nat.
    constexpr auto reportedScoreChange = 2000;
    /// Score from which evidence counts as a suspicion, in thousandths of a nat.
    constexpr auto suspicionScore = 3000;
    /// Credit, in nats, up to which this node's own successes contradict a peer's suspicion.
    constexpr auto contradictingCredit = -1.0F;

    auto thousandths(float nats) -> int32_t { return static_cast<int32_t>(std::lround(nats * 1000)); }

} // namespace

evidence_controller::evidence_controller(blackboard& board, trial_controller& trials)
    : m_board(board)
    , m_trials(trials)
{
}

auto evidence_controller::onEvidence(const evidence_event& event) -> void
{
    for (auto& item : event.items)
        applyItem(event.sender, item);
}

auto evidence_controller::applyItem(node_key sender, const evidence& item) -> void
{
    auto* service = m_board.findService(item.service);
    auto* target = service ? service->findTarget(item.target) : nullptr;
    if (!target || sender == m_board.settings.self)
        return;
    // Only evidence from members counts. This also bounds the memory.
    if (std::ranges::find(service->group, sender, &member_view::key) == service->group.end())
        return;
    auto existing = std::ranges::find(target->peerEvidence, sender, &peer_evidence::sender);
    auto& entry = existing != target->peerEvidence.end() ? *existing : target->peerEvidence.emplace_back();
    // A member that moves the target from trial back to ejected has new evidence.
    if (entry.item.state == health_state::Trial && item.state == health_state::Ejected)
        target->ignorePeerEjectionsUntil = m_board.now;
    entry = { sender, item };
    entry.item.validUntil = std::min(item.validUntil, m_board.now + longestValidity);

    if (item.state == health_state::Leaving)
        target->drainingUntil = std::max(target->drainingUntil, entry.item.validUntil);
    auto ejectionEnds = m_board.now + trialTolerance >= target->ejectedUntil;
    if (item.state == health_state::Trial && target->state == health_state::Ejected && ejectionEnds)
        m_trials.startTrial(*service, *target, "another member of the group started a trial");
    replyToSuspicion(*service, *target, sender, item);
    m_board.markChanged(*service);
}

auto evidence_controller::replyToSuspicion(service_record& service, target_record& target, node_key sender, const evidence& item) -> void
{
    auto isSuspicion = item.errorScore >= suspicionScore && item.failuresInRow > 0;
    if (!isSuspicion || target.scores.failuresInRow > 0 || recentCredit(target.scores, m_board.now) > contradictingCredit || m_board.now < target.nextReplyAt)
        return;
    if (!spendBudget(1, 1, false))
        return;
    target.nextReplyAt = m_board.now + replyInterval;
    m_board.outbox.emplace_back(send_evidence_command { { sender }, { makeItem(service, target) } });
}

auto evidence_controller::onPeerLost(const peer_lost_event& event) -> void
{
    for (auto& service : m_board.services) {
        for (auto& target : service.targets) {
            if (std::erase_if(target.peerEvidence, [&](auto& entry) { return entry.sender == event.sender; }) > 0)
                m_board.markChanged(service);
        }
    }
}

auto evidence_controller::expire(service_record& service) -> void
{
    for (auto& target : service.targets) {
        std::erase_if(target.peerEvidence, [&](auto& entry) { return entry.item.validUntil <= m_board.now; });
        auto& scores = target.scores;
        // Members report failures only, so a window without any report means that their exchanges succeeded.
        if (scores.errorScore == 0 || !scores.overdue.empty() || m_board.now < scores.decayAt || !isInRotation(target))
            continue;
        scores.errorScore = scores.errorScore < recoveryScore ? 0 : scores.errorScore / 2;
        scores.connectionScore /= 2;
        scores.decayAt = m_board.now + service.evidenceWindow();
    }
}

auto evidence_controller::makeItem(const service_record& service, const target_record& target) const -> evidence
{
    auto& scores = target.scores;
    auto item = evidence { service.spec->key, target.key, target.state };
    item.errorScore = thousandths(scores.errorScore > 0 ? scores.errorScore : recentCredit(scores, m_board.now));
    item.slowScore = thousandths(scores.slowScore);
    item.samples = scores.samples;
    item.failuresInRow = scores.failuresInRow;
    item.validUntil = m_board.now + service.evidenceWindow();
    if (target.state == health_state::Leaving)
        item.validUntil = std::min(target.drainingUntil, m_board.now + drainingValidity);
    if (target.state == health_state::Ejected || target.state == health_state::Trial)
        item.validUntil = m_board.now + ejectedValidity;
    // A failure of this node's own path is no evidence about the target, so it is not reported.
    if (target.pathSuspected)
        item.errorScore = 0;
    return item;
}

auto evidence_controller::shouldSend(const target_record& target, const evidence& item) const -> bool
{
    auto& sent = target.lastSent;
    auto sentIsValid = sent.validUntil > m_board.now;
    // Leaving is sent only when the target's own answer announced it. All nodes receive the platform's list.
    if (item.state == health_state::Leaving)
        return target.drainingUntil > m_board.now && !(sentIsValid && sent.state == health_state::Leaving);
    auto ejectedOrTrial = item.state == health_state::Ejected || item.state == health_state::Trial;
    auto suspicious = item.errorScore >= suspicionScore || item.slowScore >= suspicionScore;
    if (ejectedOrTrial || suspicious) {
        if (!sentIsValid || sent.state != item.state || m_board.now >= target.resendAt)
            return ejectedOrTrial || !sentIsValid || sent.state != item.state || item.samples != sent.samples;
        return !ejectedOrTrial && (item.errorScore - sent.errorScore >= reportedScoreChange || item.slowScore - sent.slowScore >= reportedScoreChange);
    }
    // Retracts an earlier suspicion once it no longer holds.
    auto sentSuspicion = sent.errorScore >= suspicionScore || sent.slowScore >= suspicionScore || sent.state == health_state::Ejected;
    return sentIsValid && sentSuspicion && item.errorScore < suspicionScore / 2 && item.slowScore < suspicionScore / 2;
}

auto evidence_controller::share(service_record& service) -> void
{
    if (!service.servedHere || service.group.size() < 2)
        return;
    auto items = std::vector<evidence> {};
    auto urgent = false;
    for (auto& target : service.targets) {
        auto item = makeItem(service, target);
        if (!shouldSend(target, item))
            continue;
        urgent = urgent || item.state == health_state::Leaving || item.state != target.lastSent.state;
        items.push_back(item);
    }
    if (items.empty() || !spendBudget(service.group.size() - 1, items.size(), urgent))
        return;
    for (auto& item : items) {
        auto* target = service.findTarget(item.target);
        target->lastSent = item;
        target->resendAt = m_board.now + (item.validUntil - m_board.now) / 3;
    }
    auto receivers = std::vector<node_key> {};
    for (auto& member : service.group) {
        if (member.key != m_board.settings.self)
            receivers.push_back(member.key);
    }
    m_board.outbox.emplace_back(send_evidence_command { std::move(receivers), std::move(items) });
}

auto evidence_controller::spendBudget(size_t receivers, size_t items, bool urgent) -> bool
{
    auto elapsed = static_cast<float>((m_board.now - m_refilledAt).seconds());
    m_budget = std::min(budgetLimit, m_budget + elapsed * bytesPerSecond);
    m_refilledAt = m_board.now;
    auto cost = static_cast<float>(receivers) * (messageBytes + itemBytes * static_cast<float>(items));
    // A change of state is sent at once and may overdraw the budget.
    if (m_budget < cost && !(urgent && m_budget > -budgetLimit))
        return false;
    m_budget -= cost;
    return true;
}

} // namespace gypsumhub
