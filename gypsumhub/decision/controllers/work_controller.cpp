#include "gypsumhub/decision/controllers/work_controller.h"

#include "gypsumhub/decision/detection_thresholds.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    /// How long a target's own draining answer counts without the platform's list saying so.
    constexpr auto drainingHold = seconds(120);
    /// Weight of a connection that was lost on reuse; the target may have closed it for being idle.
    constexpr auto reusedLossLikelihood = 0.3F;
    /// Share that silence of a reused connection counts.
    constexpr auto reusedSilenceShare = 0.9F;
    /// Scores stop here, so that a long fault is forgotten in bounded time.
    constexpr auto scoreLimit = 30.0F;
    constexpr auto creditLimit = 4.0F;
    constexpr auto creditLifetime = seconds(5);
    constexpr auto closeInterval = seconds(1);
    /// Exchanges of one target without a failure before slow answers say nothing about a silent path.
    constexpr auto maxOpenOverdue = uint16_t { 1000 };

    auto isSilence(attempt_result result) -> bool
    {
        return result == attempt_result::Silent || result == attempt_result::Overdue || result == attempt_result::HungAfterHeader;
    }

} // namespace

auto isPathLike(attempt_result result) -> bool
{
    return result == attempt_result::Silent || result == attempt_result::Overdue || result == attempt_result::ConnectFailed
        || result == attempt_result::ConnectionLost;
}

work_controller::work_controller(blackboard& board)
    : m_board(board)
{
}

auto work_controller::onAttempt(const attempt_report& report) -> void
{
    auto* service = m_board.findService(report.service);
    auto* target = service ? service->findTarget(report.target) : nullptr;
    if (!target)
        return;
    if (report.result == attempt_result::Draining) {
        onDraining(*service, *target);
        return;
    }
    // Declining for load and callers that go away say nothing about health.
    if (report.result == attempt_result::Shed || report.result == attempt_result::Cancelled)
        return;
    fadeCredit(target->scores);
    ++target->scores.samples;
    ++service->recentExchanges;
    target->scores.lastSampleAt = m_board.now;
    if (isFailure(report.result))
        addFailureEvidence(*service, *target, report);
    else
        addSuccessEvidence(*service, *target, report);

    // A plainly healthy target changes nothing that anybody must hear of.
    auto& scores = target->scores;
    if (target->state != health_state::Healthy || std::max(scores.errorScore, scores.slowScore) >= tellingScore || !target->opinions.empty())
        m_board.markChanged(*service);
}

auto work_controller::onDraining(service_record& service, target_record& target) -> void
{
    target.drainingUntil = std::max(target.drainingUntil, m_board.now + drainingHold);
    m_board.markChanged(service);
}

auto work_controller::addFailureEvidence(service_record& service, target_record& target, const attempt_report& report) -> void
{
    auto& scores = target.scores;
    auto likelihood = service.failures.failingLikelihood(report.result);
    // Under suspicion, the target's failures would hide its own sickness; in trouble, they are the service's.
    if (scores.errorScore < tellingScore || service.troubled)
        service.failures.learn(report.result);

    // An exchange that was reported overdue has been counted already.
    if (report.result == attempt_result::Overdue) {
        scores.overdueOpen = std::min<uint16_t>(scores.overdueOpen + 1, maxOpenOverdue);
    } else if (isSilence(report.result) && scores.overdueOpen > 0 && report.endedAt - report.startedAt > service.overdueAfter) {
        --scores.overdueOpen;
        likelihood = 0;
    }
    if (report.reusedConnection && report.result == attempt_result::ConnectionLost)
        likelihood = std::min(likelihood, reusedLossLikelihood);
    if (report.reusedConnection && isSilence(report.result)) {
        likelihood *= reusedSilenceShare;
        scores.connectionScore += likelihood;
        suspectConnection(target);
    }
    scores.pathLike = isPathLike(report.result) && (scores.pathLike || scores.failuresInRow == 0);
    ++scores.failuresInRow;
    scores.credit = 0;
    scores.fadeAt = m_board.now + service.evidenceWindow();
    scores.errorScore = std::min(scores.errorScore + likelihood, scoreLimit);
    target.probesPassed = 0;
    target.trialSuccesses = 0;
}

auto work_controller::suspectConnection(target_record& target) -> void
{
    // Something between the two ends may have lost track of the connections: new ones tell.
    target.probeWanted = true;
    if (m_board.now < target.nextCloseAt)
        return;
    target.nextCloseAt = m_board.now + closeInterval;
    m_board.outbox.emplace_back(close_idle_connections_command { target.key });
}

auto work_controller::addSuccessEvidence(service_record& service, target_record& target, const attempt_report& report) -> void
{
    auto& scores = target.scores;
    if (report.probe) {
        // Sick VMs answer probes too: a passed probe only opens the way to a trial.
        ++target.probesPassed;
        return;
    }
    if (scores.overdueOpen > 0 && report.endedAt - report.startedAt > service.overdueAfter)
        --scores.overdueOpen;
    auto likelihood = service.failures.failingLikelihood(report.result);
    service.failures.learn(report.result);
    scores.failuresInRow = 0;
    scores.pathLike = false;
    scores.lastSuccessAt = m_board.now;
    scores.credit = std::max(scores.credit + likelihood, -creditLimit);
    // Real work done over a new connection shows that the silent ones were to blame.
    if (!report.reusedConnection) {
        scores.errorScore = std::max(0.0F, scores.errorScore - scores.connectionScore);
        scores.connectionScore = 0;
    }
    scores.errorScore = std::max(0.0F, scores.errorScore + likelihood);
    if (scores.errorScore == 0)
        scores.connectionScore = 0;
    ++target.trialSuccesses;
    addLatencyEvidence(service, target, report);
}

auto work_controller::addLatencyEvidence(service_record& service, target_record& target, const attempt_report& report) -> void
{
    // A cold VM is slow for a known reason and no measure for its siblings.
    if (target.graceUntil > m_board.now)
        return;
    auto latency = report.endedAt - report.startedAt;
    auto& scores = target.scores;
    auto likelihood = service.latencies.slowLikelihood(latency, target.distance);
    scores.slowScore = std::clamp(scores.slowScore + likelihood, 0.0F, scoreLimit);
    service.latencies.learn(latency, target.distance, m_board.now);
}

auto work_controller::fadeCredit(work_scores& scores) const -> void
{
    // Old successes say nothing about a fault that began since.
    auto elapsed = m_board.now - scores.lastSampleAt;
    auto share = 1 - static_cast<float>(elapsed.ns) / static_cast<float>(creditLifetime.ns);
    scores.credit *= std::clamp(share, 0.0F, 1.0F);
}

} // namespace gypsumhub
