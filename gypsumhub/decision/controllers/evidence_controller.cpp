#include "gypsumhub/decision/controllers/evidence_controller.h"

#include "gypsumhub/decision/detection_thresholds.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    /// Bytes a second for evidence, the most that may be saved up, and the sizes on the wire that they are counted with.
    constexpr auto bytesPerSecond = 1500.0F;
    constexpr auto budgetLimit = 15000.0F;
    constexpr auto messageBytes = 64.0F;
    constexpr auto itemBytes = 56.0F;

    constexpr auto ejectedValidity = seconds(30);
    constexpr auto drainingValidity = seconds(120);
    constexpr auto longestValidity = seconds(120);
    /// How much earlier than by its own set-aside a member follows another into a trial.
    constexpr auto trialTolerance = seconds(2);
    constexpr auto replyInterval = seconds(1);
    /// Change of a score that the group is told of, in thousandths of a nat.
    constexpr auto worthTelling = 2000;
    constexpr auto accusingScore = 3000;
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
        takeIn(event.sender, item);
}

auto evidence_controller::takeIn(node_key sender, const evidence& item) -> void
{
    auto* service = m_board.findService(item.service);
    auto* target = service ? service->findTarget(item.target) : nullptr;
    if (!target || sender == m_board.settings.self)
        return;
    // Only members count, which also bounds the memory.
    if (std::ranges::find(service->group, sender, &member_view::key) == service->group.end())
        return;
    auto known = std::ranges::find(target->peerEvidence, sender, &peer_evidence::sender);
    auto& opinion = known != target->peerEvidence.end() ? *known : target->peerEvidence.emplace_back();
    // A member that ends its trial with another ejection has seen something new.
    if (opinion.item.state == health_state::Trial && item.state == health_state::Ejected)
        target->followFrom = m_board.now;
    opinion = { sender, item };
    opinion.item.validUntil = std::min(item.validUntil, m_board.now + longestValidity);

    if (item.state == health_state::Leaving)
        target->drainingUntil = std::max(target->drainingUntil, opinion.item.validUntil);
    auto setAsideEnds = m_board.now + trialTolerance >= target->setAsideUntil;
    if (item.state == health_state::Trial && target->state == health_state::Ejected && setAsideEnds)
        m_trials.startTrial(*service, *target, "a member of the group put it on trial");
    answerAccusation(*service, *target, sender, item);
    m_board.markChanged(*service);
}

auto evidence_controller::answerAccusation(service_record& service, target_record& target, node_key sender, const evidence& item) -> void
{
    auto accuses = item.errorScore >= accusingScore && item.failuresInRow > 0;
    if (!accuses || target.scores.failuresInRow > 0 || recentCredit(target.scores, m_board.now) > contradictingCredit || m_board.now < target.nextReplyAt)
        return;
    if (!takeBudget(1, 1, false))
        return;
    target.nextReplyAt = m_board.now + replyInterval;
    m_board.outbox.emplace_back(send_evidence_command { { sender }, { makeItem(service, target) } });
}

auto evidence_controller::onPeerLost(const peer_lost_event& event) -> void
{
    for (auto& service : m_board.services) {
        for (auto& target : service.targets) {
            if (std::erase_if(target.peerEvidence, [&](auto& opinion) { return opinion.sender == event.sender; }) > 0)
                m_board.markChanged(service);
        }
    }
}

auto evidence_controller::expire(service_record& service) -> void
{
    for (auto& target : service.targets) {
        std::erase_if(target.peerEvidence, [&](auto& opinion) { return opinion.item.validUntil <= m_board.now; });
        auto& scores = target.scores;
        // Members tell of failures only, so a span without any means that all of them had success meanwhile.
        if (scores.errorScore == 0 || !scores.overdue.empty() || m_board.now < scores.fadeAt || !isInRotation(target))
            continue;
        scores.errorScore = scores.errorScore < restoringScore ? 0 : scores.errorScore / 2;
        scores.connectionScore /= 2;
        scores.fadeAt = m_board.now + service.evidenceWindow();
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
    // Trouble of the own path is nobody else's business.
    if (target.pathSuspect)
        item.errorScore = 0;
    return item;
}

auto evidence_controller::isWorthTelling(const target_record& target, const evidence& item) const -> bool
{
    auto& sent = target.lastSent;
    auto sentHolds = sent.validUntil > m_board.now;
    // Leaving is told only when the target said so itself; the platform's list is known to all.
    if (item.state == health_state::Leaving)
        return target.drainingUntil > m_board.now && !(sentHolds && sent.state == health_state::Leaving);
    auto settled = item.state == health_state::Ejected || item.state == health_state::Trial;
    auto suspicious = item.errorScore >= accusingScore || item.slowScore >= accusingScore;
    if (settled || suspicious) {
        if (!sentHolds || sent.state != item.state || m_board.now >= target.resendAt)
            return settled || !sentHolds || sent.state != item.state || item.samples != sent.samples;
        return !settled && (item.errorScore - sent.errorScore >= worthTelling || item.slowScore - sent.slowScore >= worthTelling);
    }
    // Take back what was said once it no longer holds.
    auto accused = sent.errorScore >= accusingScore || sent.slowScore >= accusingScore || sent.state == health_state::Ejected;
    return sentHolds && accused && item.errorScore < accusingScore / 2 && item.slowScore < accusingScore / 2;
}

auto evidence_controller::share(service_record& service) -> void
{
    if (!service.servedHere || service.group.size() < 2)
        return;
    auto items = std::vector<evidence> {};
    auto urgent = false;
    for (auto& target : service.targets) {
        auto item = makeItem(service, target);
        if (!isWorthTelling(target, item))
            continue;
        urgent = urgent || item.state == health_state::Leaving || item.state != target.lastSent.state;
        items.push_back(item);
    }
    if (items.empty() || !takeBudget(service.group.size() - 1, items.size(), urgent))
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

auto evidence_controller::takeBudget(size_t receivers, size_t items, bool urgent) -> bool
{
    auto elapsed = static_cast<float>((m_board.now - m_creditedUntil).seconds());
    m_budget = std::min(budgetLimit, m_budget + elapsed * bytesPerSecond);
    m_creditedUntil = m_board.now;
    auto cost = static_cast<float>(receivers) * (messageBytes + itemBytes * static_cast<float>(items));
    // A change of state goes out at once and is paid back later.
    if (m_budget < cost && !(urgent && m_budget > -budgetLimit))
        return false;
    m_budget -= cost;
    return true;
}

} // namespace gypsumhub
