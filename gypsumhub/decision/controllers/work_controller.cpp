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
    constexpr auto closeInterval = seconds(1);
    /// Open exchanges of one target that are counted.
    constexpr auto maxOverdue = size_t { 4 };

    /// Mean slow likelihood of the siblings, below zero, from which slowness counts as shared.
    constexpr auto sharedMargin = 0.25F;

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
    auto counted = report.result == attempt_result::Overdue ? 0 : settleOverdue(target->scores, report.startedAt);
    // Declining for load and callers that go away say nothing about health.
    if (report.result == attempt_result::Shed || report.result == attempt_result::Cancelled)
        return;
    target->scores.credit = recentCredit(target->scores, m_board.now);
    countRecent(target->scores, isFailure(report.result));
    ++target->scores.samples;
    ++service->recentExchanges;
    target->scores.lastSampleAt = m_board.now;
    if (isFailure(report.result))
        addFailureEvidence(*service, *target, report, counted);
    else
        addSuccessEvidence(*service, *target, report, counted);

    // A plainly healthy target changes nothing that anybody must hear of.
    auto& scores = target->scores;
    if (target->state != health_state::Healthy || std::max(scores.errorScore, scores.slowScore) >= tellingScore || !target->peerEvidence.empty())
        m_board.markChanged(*service);
}

auto work_controller::onDraining(service_record& service, target_record& target) -> void
{
    target.drainingUntil = std::max(target.drainingUntil, m_board.now + drainingHold);
    m_board.markChanged(service);
}

auto work_controller::addFailureEvidence(service_record& service, target_record& target, const attempt_report& report, float counted)
    -> void
{
    auto& scores = target.scores;
    auto likelihood = service.failures.failingLikelihood(report.result, service.siblingFailureRate(target, m_board.now));
    // A cold VM may be late, and says so by being late only.
    if (report.result == attempt_result::Overdue && target.graceUntil > m_board.now)
        return;
    // Under suspicion, the target's failures would hide its own sickness; in trouble, they are the service's.
    if (scores.errorScore < tellingScore || service.troubled)
        service.failures.learn(report.result);
    // An exchange that was reported overdue has been counted already.
    if (isSilence(report.result) && counted > 0)
        likelihood = 0;
    if (report.reusedConnection && report.result == attempt_result::ConnectionLost)
        likelihood = std::min(likelihood, reusedLossLikelihood);
    if (report.reusedConnection && isSilence(report.result)) {
        likelihood *= reusedSilenceShare;
        scores.connectionScore += likelihood;
        suspectConnection(target);
    }
    if (report.result == attempt_result::Overdue && scores.overdue.size() < maxOverdue)
        scores.overdue.push_back({ report.startedAt, report.startedAt + service.overdueAfter * 2, likelihood });
    // A probe on a new connection tells more at once; so does another one after it failed.
    target.probeWanted = target.probeWanted || isSilence(report.result) || report.probe;
    scores.pathLike = isPathLike(report.result) && (scores.pathLike || scores.failuresInRow == 0);
    ++scores.failuresInRow;
    scores.credit = 0;
    scores.fadeAt = m_board.now + service.evidenceWindow();
    scores.errorScore = std::min(scores.errorScore + likelihood, scoreLimit);
    target.probesPassed = 0;
    target.trialSuccesses = 0;
}

auto work_controller::settleOverdue(work_scores& scores, time_point startedAt) const -> float
{
    auto found = std::ranges::find(scores.overdue, startedAt, &overdue_exchange::startedAt);
    if (found == scores.overdue.end())
        return 0;
    auto score = found->score;
    scores.overdue.erase(found);
    return score;
}

auto work_controller::countHangs(const service_record& service, target_record& target) -> void
{
    for (auto& exchange : target.scores.overdue) {
        if (m_board.now < exchange.hangCheckAt)
            continue;
        // Of healthy answers that are late, few are late by twice as much.
        auto likelihood = service.latencies.hangLikelihood();
        exchange.score += likelihood;
        exchange.hangCheckAt = exchange.hangCheckAt + (exchange.hangCheckAt - exchange.startedAt);
        target.scores.errorScore = std::min(target.scores.errorScore + likelihood, scoreLimit);
    }
}

auto work_controller::suspectConnection(target_record& target) -> void
{
    // Something between the two ends may have lost track of the connections: new ones tell.
    if (m_board.now < target.nextCloseAt)
        return;
    target.nextCloseAt = m_board.now + closeInterval;
    m_board.outbox.emplace_back(close_idle_connections_command { target.key });
}

auto work_controller::addSuccessEvidence(service_record& service, target_record& target, const attempt_report& report, float counted)
    -> void
{
    auto& scores = target.scores;
    if (report.probe) {
        // Sick VMs answer probes too: a passed probe only opens the way to a trial.
        ++target.probesPassed;
        return;
    }
    // An answer that came after all is judged as slow, no longer as missing.
    scores.errorScore = std::max(0.0F, scores.errorScore - counted);
    if (report.endedAt - report.startedAt > service.overdueAfter)
        service.latencies.learnLate(report.endedAt - report.startedAt, service.overdueAfter);
    auto likelihood = service.failures.failingLikelihood(report.result, 0);
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
    auto position = static_cast<uint32_t>(&target - service.targets.data());
    // As far as the siblings' latest answers are slow too, the slowness is the service's.
    auto shared = std::max(0.0F, service.slowness.meanWithout(position, -sharedMargin) + sharedMargin);
    service.slowness.add(position, likelihood);
    scores.slowScore = std::clamp(scores.slowScore + likelihood - shared, 0.0F, scoreLimit);
    service.latencies.learn(latency, target.distance, m_board.now);
}

auto work_controller::countRecent(work_scores& scores, bool failed) const -> void
{
    auto recent = recentWork(scores, m_board.now);
    scores.recentSamples = recent.samples + 1;
    scores.recentFailures = recent.failures + (failed ? 1 : 0);
}

} // namespace gypsumhub
