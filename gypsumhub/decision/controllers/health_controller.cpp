#include "gypsumhub/decision/controllers/health_controller.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    /// Weights in thousandths of a full turn.
    constexpr auto fullWeight = uint16_t { 1000 };
    constexpr auto graceWeight = uint16_t { 400 };
    constexpr auto demotedWeight = uint16_t { 800 };
    constexpr auto avoidedWeight = uint16_t { 1 };

    /// How long conviction for a path-like failure waits for the group's word.
    constexpr auto askingTime = milliseconds(200);
    /// Factor on the error threshold while a VM starts cold, and on both thresholds during a trial.
    constexpr auto graceFactor = 1.5F;
    constexpr auto trialFactor = 0.8F;
    /// A service is in trouble when this share of its targets is under suspicion, and no fewer than `troubledTargets`.
    constexpr auto troubledShare = 0.34F;
    constexpr auto troubledTargets = 3U;
    /// How many times the siblings' mean score is taken off a target's own.
    constexpr auto sharedDiscount = 3.0F;
    constexpr auto troubleHold = seconds(3);

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

auto health_controller::judge(service_record& service) -> void
{
    if (!service.servedHere)
        return;
    auto& thresholds = thresholdsFor(service.spec->rules.preference);
    m_pooled.clear();
    for (auto& target : service.targets)
        m_pooled.push_back(poolEvidence(target, thresholds, m_board.now));
    updateTrouble(service, thresholds);
    discountShared(service);
    for (auto& target : service.targets)
        judgeTarget(service, target, thresholds);
}

auto health_controller::updateTrouble(service_record& service, const detection_thresholds& thresholds) -> void
{
    auto judged = uint32_t { 0 };
    auto suspects = uint32_t { 0 };
    for (auto index = size_t { 0 }; index < service.targets.size(); ++index) {
        auto& target = service.targets[index];
        if (isDeparting(target, m_board.now))
            continue;
        ++judged;
        // A target set aside long ago is no sign of what happens now.
        auto fresh = isInRotation(target) && !target.pathSuspect;
        if (fresh && std::max(m_pooled[index].error, m_pooled[index].slow) >= thresholds.demotes)
            ++suspects;
    }
    if (suspects >= troubledTargets && static_cast<float>(suspects) >= troubledShare * static_cast<float>(judged)) {
        service.troubled = true;
        service.troubledUntil = m_board.now + troubleHold;
    } else if (service.troubled && m_board.now >= service.troubledUntil) {
        endTrouble(service);
    }
}

auto health_controller::discountShared(const service_record& service) -> void
{
    // Sums over the targets in rotation, and the two highest, so that each target's siblings can be averaged without the worst.
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
        if (!isInRotation(service.targets[index]) || service.targets[index].pathSuspect)
            continue;
        error.add(m_pooled[index].error);
        slow.add(m_pooled[index].slow);
        ++counted;
    }
    if (counted < 4)
        return;
    for (auto index = size_t { 0 }; index < service.targets.size(); ++index) {
        if (!isInRotation(service.targets[index]) || service.targets[index].pathSuspect)
            continue;
        auto& pooled = m_pooled[index];
        pooled.error = std::max(0.0F, pooled.error - sharedDiscount * error.siblingMean(pooled.error, counted - 2));
        pooled.slow = std::max(0.0F, pooled.slow - sharedDiscount * slow.siblingMean(pooled.slow, counted - 2));
    }
}

auto health_controller::endTrouble(service_record& service) -> void
{
    service.troubled = false;
    // What was seen during the service's trouble is no evidence against the target that happens to recover last.
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

auto health_controller::judgeTarget(service_record& service, target_record& target, const detection_thresholds& thresholds) -> void
{
    if (followDeparture(service, target))
        return;
    auto& pooled = m_pooled[static_cast<size_t>(&target - service.targets.data())];
    if (target.state == health_state::Ejected)
        return;
    target.pathSuspect = pooled.contradicted;
    if (target.pathSuspect) {
        avoidPath(service, target);
        return;
    }
    target.convicted = isConvicted(service, target, pooled, thresholds);
    if (target.convicted && awaitsGroup(service, target))
        target.convicted = false;
    followScore(service, target, pooled, thresholds);
}

auto health_controller::followDeparture(service_record& service, target_record& target) -> bool
{
    if (isDeparting(target, m_board.now)) {
        target.convicted = false;
        auto byList = target.listed != list_status::Live;
        m_board.changeState(service, target, health_state::Leaving, byList ? "leaving or gone by the platform's list" : "answered that it is draining");
        return true;
    }
    if (target.state == health_state::Leaving) {
        // A VM that joined the list again is new; one that only stopped saying that it drains must prove itself.
        if (target.graceUntil > m_board.now)
            m_board.changeState(service, target, health_state::Healthy, "live again by the platform's list");
        else
            m_trials.startTrial(service, target, "no longer says that it is draining");
    }
    return false;
}

auto health_controller::isConvicted(const service_record& service, const target_record& target, const pooled_scores& pooled,
    const detection_thresholds& thresholds) const -> bool
{
    if (service.troubled)
        return false;
    // A member that is sure is followed, so that the group acts as one.
    if (pooled.ejectedByPeer && m_board.now >= target.followFrom)
        return true;
    auto cold = target.graceUntil > m_board.now;
    auto factor = target.state == health_state::Trial ? trialFactor : cold ? graceFactor
                                                                           : 1.0F;
    // A cold VM may be slow, not wrong.
    return pooled.error >= thresholds.errorEjects * factor || (!cold && pooled.slow >= thresholds.slowEjects * factor);
}

auto health_controller::awaitsGroup(const service_record& service, target_record& target) -> bool
{
    // Only what a broken path explains too needs the group's word, and only if there is a group.
    if (!target.scores.pathLike || service.group.size() < 2)
        return false;
    if (target.askUntil == time_point {})
        target.askUntil = m_board.now + askingTime;
    return m_board.now < target.askUntil;
}

auto health_controller::avoidPath(service_record& service, target_record& target) -> void
{
    target.convicted = false;
    target.probeWanted = true;
    m_board.changeWeight(service, target, avoidedWeight);
    m_board.changeState(service, target, health_state::Demoted, "silent from here while peers have success: the path is suspected, not the VM");
}

auto health_controller::followScore(service_record& service, target_record& target, const pooled_scores& pooled, const detection_thresholds& thresholds)
    -> void
{
    auto score = std::max(pooled.error, pooled.slow);
    if (score < restoringScore)
        target.askUntil = {};
    if (target.state == health_state::Trial)
        return;
    if (target.state == health_state::Healthy && score >= thresholds.demotes)
        m_board.changeState(service, target, health_state::Demoted, "under suspicion: " + describeScores(target, pooled));
    else if (target.state == health_state::Demoted && score < restoringScore)
        m_board.changeState(service, target, health_state::Healthy, "suspicion not confirmed: " + describeScores(target, pooled));

    auto cold = target.graceUntil > m_board.now;
    auto healthyWeight = cold ? graceWeight : fullWeight;
    auto suspectWeight = target.convicted ? convictedWeight : demotedWeight;
    m_board.changeWeight(service, target, target.state == health_state::Demoted ? suspectWeight : healthyWeight);
}

} // namespace gypsumhub
