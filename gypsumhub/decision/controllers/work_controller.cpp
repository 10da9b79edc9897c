#include "gypsumhub/decision/controllers/work_controller.h"

#include "gypsumhub/decision/detection_thresholds.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    /// How long a target counts as leaving after its own draining answer when the platform's list does not confirm it.
    constexpr auto drainingHold = seconds(120);
    /// Likelihood limit, in nats, for a lost reused connection; the target may have closed it because it was idle.
    constexpr auto reusedLossLikelihood = 0.3F;
    /// Factor on the likelihood when a reused connection gets no answer; the connection itself may be dead.
    constexpr auto reusedSilenceShare = 0.9F;
    /// Upper limit of the scores, in nats, so that they decay in bounded time after a long fault.
    constexpr auto scoreLimit = 30.0F;
    constexpr auto creditLimit = 4.0F;
    constexpr auto closeInterval = seconds(1);
    /// Overdue exchanges of one target that are tracked while they are open.
    constexpr auto maxOverdue = size_t { 4 };

    /// Slowness counts as shared from this far below zero in the siblings' mean slow likelihood, in nats.
    constexpr auto sharedMargin = 0.25F;

    auto isSilence(attempt_result result) -> bool
    {
        return result == attempt_result::Silent || result == attempt_result::Overdue || result == attempt_result::HungAfterHeader;
    }

} // namespace

auto mayBePathFailure(attempt_result result) -> bool
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
    // Shed requests and cancelled requests are no evidence about health.
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

    // For a healthy target without suspicion, the later steps have nothing to update.
    auto& scores = target->scores;
    if (target->state != health_state::Healthy || std::max(scores.errorScore, scores.slowScore) >= reportingScore || !target->peerEvidence.empty())
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
    // During slow start, late answers are expected and are not counted as failures.
    if (report.result == attempt_result::Overdue && target.slowStartUntil > m_board.now)
        return;
    // Failures of a suspected target would raise the baseline and hide its fault. In a degraded service, they belong to the service.
    if (scores.errorScore < reportingScore || service.degraded)
        service.failures.addSample(report.result);
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
    // A health probe on a new connection shows whether the target or the old connection failed. A failed probe is repeated.
    target.probeRequested = target.probeRequested || isSilence(report.result) || report.probe;
    scores.onlyPathFailures = mayBePathFailure(report.result) && (scores.onlyPathFailures || scores.failuresInRow == 0);
    ++scores.failuresInRow;
    scores.credit = 0;
    scores.decayAt = m_board.now + service.evidenceWindow();
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
        // A late answer of a healthy target rarely takes twice as long again, so the score grows each time the age doubles.
        auto likelihood = service.latencies.hangLikelihood();
        exchange.score += likelihood;
        exchange.hangCheckAt = exchange.hangCheckAt + (exchange.hangCheckAt - exchange.startedAt);
        target.scores.errorScore = std::min(target.scores.errorScore + likelihood, scoreLimit);
    }
}

auto work_controller::suspectConnection(target_record& target) -> void
{
    // A device on the path may have dropped the state of these connections. New connections show whether the target works.
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
        // Unhealthy VMs can answer health probes, so a passed probe only counts towards a trial.
        ++target.probesPassed;
        return;
    }
    // A late answer is evaluated by its latency and no longer as a missing answer.
    scores.errorScore = std::max(0.0F, scores.errorScore - counted);
    if (report.endedAt - report.startedAt > service.overdueAfter)
        service.latencies.addLateSample(report.endedAt - report.startedAt, service.overdueAfter);
    auto likelihood = service.failures.failingLikelihood(report.result, 0);
    service.failures.addSample(report.result);
    scores.failuresInRow = 0;
    scores.onlyPathFailures = false;
    scores.lastSuccessAt = m_board.now;
    scores.credit = std::max(scores.credit + likelihood, -creditLimit);
    // A success on a new connection shows that the silent connections had failed and not the target.
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
    // During slow start, latencies are high for a known reason and must not enter the siblings' baseline.
    if (target.slowStartUntil > m_board.now)
        return;
    auto latency = report.endedAt - report.startedAt;
    auto& scores = target.scores;
    auto likelihood = service.latencies.slowLikelihood(latency, target.distance);
    auto position = static_cast<uint32_t>(&target - service.targets.data());
    // Slowness that the siblings' latest answers share belongs to the service and is subtracted.
    auto shared = std::max(0.0F, service.slowness.meanWithout(position, -sharedMargin) + sharedMargin);
    service.slowness.add(position, likelihood);
    scores.slowScore = std::clamp(scores.slowScore + likelihood - shared, 0.0F, scoreLimit);
    service.latencies.addSample(latency, target.distance, m_board.now);
}

auto work_controller::countRecent(work_scores& scores, bool failed) const -> void
{
    auto recent = recentWork(scores, m_board.now);
    scores.recentSamples = recent.samples + 1;
    scores.recentFailures = recent.failures + (failed ? 1 : 0);
}

} // namespace gypsumhub
