#include "gypsumhub/decision/controllers/health_controller.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    /// Weights in thousandths of the full weight.
    constexpr auto fullWeight = uint16_t { 1000 };
    constexpr auto slowStartWeight = uint16_t { 400 };
    constexpr auto demotedWeight = uint16_t { 800 };
    /// Weight while the path to the target is suspected.
    constexpr auto avoidedWeight = uint16_t { 1 };

    /// How long an ejection waits for evidence from peers when a failed path would explain the failures too.
    constexpr auto peerWait = milliseconds(200);
    /// Factor on the error threshold during slow start, and on both thresholds during a trial.
    constexpr auto slowStartFactor = 1.5F;
    constexpr auto trialFactor = 0.8F;
    /// A service is degraded when at least this share of its targets, and at least `minSuspects`, are suspected.
    constexpr auto degradedShare = 0.34F;
    constexpr auto minSuspects = 3U;
    /// Multiple of the siblings' mean score that is subtracted from a target's own score.
    constexpr auto sharedDiscount = 3.0F;
    /// How long a service stays degraded after the share of suspects has fallen; hysteresis.
    constexpr auto degradedHold = seconds(3);

} // namespace

auto describeScores(const target_record& target, const pooled_scores& pooled) -> std::string
{
    return "error " + std::to_string(pooled.error).substr(0, 5) + ", slow " + std::to_string(pooled.slow).substr(0, 5) + " nats pooled over "
        + std::to_string(target.scores.samples) + " own exchanges and " + std::to_string(target.peerEvidence.size()) + " peers";
}

health_controller::health_controller(blackboard& board, trial_controller& trials)
    : m_board(board)
    , m_trials(trials)
{
}

auto health_controller::evaluate(service_record& service) -> void
{
    if (!service.servedHere)
        return;
    auto& thresholds = thresholdsFor(service.spec->rules.preference);
    m_pooled.clear();
    for (auto& target : service.targets)
        m_pooled.push_back(poolEvidence(target, thresholds, m_board.now));
    updateDegraded(service, thresholds);
    discountShared(service);
    for (auto& target : service.targets)
        evaluateTarget(service, target, thresholds);
}

auto health_controller::updateDegraded(service_record& service, const detection_thresholds& thresholds) -> void
{
    auto evaluated = uint32_t { 0 };
    auto suspects = uint32_t { 0 };
    for (auto index = size_t { 0 }; index < service.targets.size(); ++index) {
        auto& target = service.targets[index];
        if (isDeparting(target, m_board.now))
            continue;
        ++evaluated;
        // An earlier ejection is no evidence about the current state of the service.
        auto countsAsSuspect = isInRotation(target) && !target.pathSuspected;
        if (countsAsSuspect && std::max(m_pooled[index].error, m_pooled[index].slow) >= thresholds.demotion)
            ++suspects;
    }
    if (suspects >= minSuspects && static_cast<float>(suspects) >= degradedShare * static_cast<float>(evaluated)) {
        service.degraded = true;
        service.degradedUntil = m_board.now + degradedHold;
    } else if (service.degraded && m_board.now >= service.degradedUntil) {
        endDegraded(service);
    }
}

auto health_controller::discountShared(const service_record& service) -> void
{
    /// Sum of the scores of the targets in rotation, and the two highest. The mean of a target's siblings leaves out the highest.
    struct score_sum {
        float total { 0 };
        float highest { 0 };
        float second { 0 };

        auto add(float score) -> void
        {
            total += score;
            second = std::max(second, std::min(highest, score));
            highest = std::max(highest, score);
        }

        auto siblingMean(float own, float siblings) const -> float
        {
            return (total - own - (own >= highest ? second : highest)) / siblings;
        }
    };
    auto error = score_sum {};
    auto slow = score_sum {};
    auto counted = 0.0F;
    for (auto index = size_t { 0 }; index < service.targets.size(); ++index) {
        if (!isInRotation(service.targets[index]) || service.targets[index].pathSuspected)
            continue;
        error.add(m_pooled[index].error);
        slow.add(m_pooled[index].slow);
        ++counted;
    }
    if (counted < 4)
        return;
    for (auto index = size_t { 0 }; index < service.targets.size(); ++index) {
        if (!isInRotation(service.targets[index]) || service.targets[index].pathSuspected)
            continue;
        auto& pooled = m_pooled[index];
        pooled.error = std::max(0.0F, pooled.error - sharedDiscount * error.siblingMean(pooled.error, counted - 2));
        pooled.slow = std::max(0.0F, pooled.slow - sharedDiscount * slow.siblingMean(pooled.slow, counted - 2));
    }
}

auto health_controller::endDegraded(service_record& service) -> void
{
    service.degraded = false;
    // Evidence from the degraded period must not eject the target that recovers last.
    for (auto& target : service.targets) {
        if (!isInRotation(target))
            continue;
        target.scores.errorScore = 0;
        target.scores.slowScore = 0;
        target.scores.connectionScore = 0;
        target.peerEvidence.clear();
        m_pooled[static_cast<size_t>(&target - service.targets.data())] = {};
    }
}

auto health_controller::evaluateTarget(service_record& service, target_record& target, const detection_thresholds& thresholds) -> void
{
    if (applyDeparture(service, target))
        return;
    auto& pooled = m_pooled[static_cast<size_t>(&target - service.targets.data())];
    if (target.state == health_state::Ejected)
        return;
    target.pathSuspected = pooled.contradicted;
    if (target.pathSuspected) {
        avoidPath(service, target);
        return;
    }
    target.unhealthy = isUnhealthy(service, target, pooled, thresholds);
    if (target.unhealthy && awaitsPeers(service, target))
        target.unhealthy = false;
    applyScore(service, target, pooled, thresholds);
}

auto health_controller::applyDeparture(service_record& service, target_record& target) -> bool
{
    if (isDeparting(target, m_board.now)) {
        target.unhealthy = false;
        auto byList = target.listed != list_status::Live;
        m_board.changeState(service, target, health_state::Leaving, byList ? "leaving or gone according to the platform's list" : "answered that it is draining");
        return true;
    }
    if (target.state == health_state::Leaving) {
        // A VM that joined the list again is a new one. Any other VM must pass a trial first.
        if (target.slowStartUntil > m_board.now)
            m_board.changeState(service, target, health_state::Healthy, "live again according to the platform's list");
        else
            m_trials.startTrial(service, target, "no longer answers that it is draining");
    }
    return false;
}

auto health_controller::isUnhealthy(const service_record& service, const target_record& target, const pooled_scores& pooled,
    const detection_thresholds& thresholds) const -> bool
{
    if (service.degraded)
        return false;
    // An ejection by another member is applied here too, so that all members eject the same targets.
    if (pooled.ejectedByPeer && m_board.now >= target.ignorePeerEjectionsUntil)
        return true;
    auto slowStart = target.slowStartUntil > m_board.now;
    auto factor = target.state == health_state::Trial ? trialFactor : slowStart ? slowStartFactor
                                                                                : 1.0F;
    // During slow start, slow answers are expected and errors are not.
    return pooled.error >= thresholds.errorEjection * factor || (!slowStart && pooled.slow >= thresholds.slowEjection * factor);
}

auto health_controller::awaitsPeers(const service_record& service, target_record& target) -> bool
{
    // Only failures that a failed path would explain too need evidence from peers, and only if there are peers.
    if (!target.scores.onlyPathFailures || service.group.size() < 2)
        return false;
    if (target.awaitPeersUntil == time_point {})
        target.awaitPeersUntil = m_board.now + peerWait;
    return m_board.now < target.awaitPeersUntil;
}

auto health_controller::avoidPath(service_record& service, target_record& target) -> void
{
    target.unhealthy = false;
    target.probeRequested = true;
    m_board.changeWeight(service, target, avoidedWeight);
    m_board.changeState(service, target, health_state::Demoted, "no answers on this node while peers report success: the path is suspected, not the VM");
}

auto health_controller::applyScore(service_record& service, target_record& target, const pooled_scores& pooled, const detection_thresholds& thresholds)
    -> void
{
    auto score = std::max(pooled.error, pooled.slow);
    if (score < recoveryScore)
        target.awaitPeersUntil = {};
    if (target.state == health_state::Trial)
        return;
    if (target.state == health_state::Healthy && score >= thresholds.demotion)
        m_board.changeState(service, target, health_state::Demoted, "suspected: " + describeScores(target, pooled));
    else if (target.state == health_state::Demoted && score < recoveryScore)
        m_board.changeState(service, target, health_state::Healthy, "suspicion not confirmed: " + describeScores(target, pooled));

    auto slowStart = target.slowStartUntil > m_board.now;
    auto healthyWeight = slowStart ? slowStartWeight : fullWeight;
    auto suspectWeight = target.unhealthy ? unhealthyWeight : demotedWeight;
    m_board.changeWeight(service, target, target.state == health_state::Demoted ? suspectWeight : healthyWeight);
}

} // namespace gypsumhub
