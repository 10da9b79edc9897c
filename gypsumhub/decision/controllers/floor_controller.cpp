#include "gypsumhub/decision/controllers/floor_controller.h"

#include "gypsumhub/decision/controllers/health_controller.h"

#include <algorithm>
#include <cassert>

namespace gypsumhub {

namespace {

    constexpr auto baseEjectionTime = seconds(10);
    constexpr auto maxEjectionTime = minutes(5);
    /// An ejection within this time after another one lasts longer.
    constexpr auto ejectionMemory = minutes(10);
    constexpr auto firstProbeDelay = seconds(1);
    /// How much higher the score of a target in rotation must be to replace an ejected one, in nats.
    constexpr auto swapMargin = 10.0F;

    /// Ejection strength, in nats, for a member that ejected because of other members' evidence.
    constexpr auto minEjectionStrength = 0.001F;

    auto currentScore(const service_record& service, const target_record& target, time_point now) -> float
    {
        auto pooled = poolEvidence(target, thresholdsFor(service.spec->rules.preference), now);
        return std::max(pooled.error, pooled.slow);
    }

    auto isEjected(const target_record& target) -> bool { return target.state == health_state::Ejected; }

    auto isWorse(const std::pair<float, target_record*>& a, const std::pair<float, target_record*>& b) -> bool
    {
        // Equal scores are ordered by key, so that all members compute the same order.
        return a.first != b.first ? a.first > b.first : a.second->key < b.second->key;
    }

} // namespace

floor_controller::floor_controller(blackboard& board)
    : m_board(board)
{
}

auto floor_controller::apply(service_record& service) -> void
{
    if (!service.servedHere)
        return;
    auto available = static_cast<size_t>(
        std::ranges::count_if(service.targets, [&](auto& target) { return !isDeparting(target, m_board.now); }));
    auto limit = available - std::min(available, service.floorCount());
    returnExcess(service, limit);
    limitAcrossGroup(service, limit);
    ejectUnhealthy(service, limit);
    assert(static_cast<size_t>(std::ranges::count_if(service.targets, isInRotation)) >= std::min(available, service.floorCount()));
}

auto floor_controller::returnExcess(service_record& service, size_t limit) -> void
{
    auto ejected = static_cast<size_t>(std::ranges::count_if(service.targets, isEjected));
    while (ejected > limit) {
        auto* leastUnhealthy = static_cast<target_record*>(nullptr);
        for (auto& target : service.targets) {
            if (isEjected(target) && (!leastUnhealthy || target.ejectionScore < leastUnhealthy->ejectionScore))
                leastUnhealthy = &target;
        }
        returnToRotation(service, *leastUnhealthy, "returned to rotation by the floor: lowest score of the ejected targets");
        --ejected;
    }
}

auto floor_controller::ejectionStrength(const target_record& target) const -> float
{
    // Every member sums the same numbers: the own scores of each member that ejected the target.
    auto strength = isEjected(target) ? std::max(std::max(target.scores.errorScore, target.scores.slowScore), minEjectionStrength) : 0.0F;
    for (auto& entry : target.peerEvidence) {
        auto& item = entry.item;
        if (item.state == health_state::Ejected && item.validUntil > m_board.now)
            strength += std::max(static_cast<float>(std::max(item.errorScore, item.slowScore)) / 1000, minEjectionStrength);
    }
    return strength;
}

auto floor_controller::limitAcrossGroup(service_record& service, size_t limit) -> void
{
    // The targets that any member has ejected, strongest ejection first. All members compute the same order, so they return the
    // same targets to rotation.
    auto ejections = std::vector<std::pair<float, target_record*>> {};
    for (auto& target : service.targets) {
        auto strength = isDeparting(target, m_board.now) ? 0 : ejectionStrength(target);
        if (strength > 0)
            ejections.emplace_back(strength, &target);
    }
    if (ejections.size() <= limit)
        return;
    std::ranges::sort(ejections, isWorse);
    for (auto position = limit; position < ejections.size(); ++position) {
        if (isEjected(*ejections[position].second))
            returnToRotation(service, *ejections[position].second, "returned to rotation by the floor: peers ejected targets with stronger evidence");
    }
}

auto floor_controller::ejectUnhealthy(service_record& service, size_t limit) -> void
{
    auto unhealthy = std::vector<std::pair<float, target_record*>> {};
    auto ejectedByGroup = size_t { 0 };
    for (auto& target : service.targets) {
        if (!isDeparting(target, m_board.now) && ejectionStrength(target) > 0)
            ++ejectedByGroup;
        if (target.unhealthy && isInRotation(target))
            unhealthy.emplace_back(currentScore(service, target, m_board.now), &target);
    }
    std::ranges::sort(unhealthy, isWorse);
    for (auto& [score, target] : unhealthy) {
        // A target that a peer has already ejected is already counted.
        auto counted = ejectionStrength(*target) > 0;
        auto own = static_cast<size_t>(std::ranges::count_if(service.targets, isEjected));
        if (own < limit && (counted || ejectedByGroup < limit)) {
            ejectedByGroup += counted ? 0 : 1;
            eject(service, *target);
        } else if (!swapForWorse(service, *target)) {
            target->reason = "kept in rotation by the floor: " + describeScores(*target, poolEvidence(*target, thresholdsFor(service.spec->rules.preference), m_board.now));
        }
    }
}

auto floor_controller::swapForWorse(service_record& service, target_record& unhealthy) -> bool
{
    auto* leastUnhealthy = static_cast<target_record*>(nullptr);
    for (auto& target : service.targets) {
        if (isEjected(target) && (!leastUnhealthy || target.ejectionScore < leastUnhealthy->ejectionScore))
            leastUnhealthy = &target;
    }
    if (!leastUnhealthy || currentScore(service, unhealthy, m_board.now) < leastUnhealthy->ejectionScore + swapMargin)
        return false;
    returnToRotation(service, *leastUnhealthy, "returned to rotation by the floor: a target with a higher score was ejected instead");
    eject(service, unhealthy);
    return true;
}

auto floor_controller::eject(service_record& service, target_record& target) -> void
{
    auto pooled = poolEvidence(target, thresholdsFor(service.spec->rules.preference), m_board.now);
    target.ejectionScore = std::max(pooled.error, pooled.slow);
    target.unhealthy = false;
    // Each recent ejection doubles the ejection time.
    auto doublings = std::min(target.recentEjections, 5U);
    ++target.recentEjections;
    target.ejectionExpiresAt = m_board.now + ejectionMemory;
    target.ejectedUntil = m_board.now + std::min(baseEjectionTime * (int64_t { 1 } << doublings), maxEjectionTime);
    target.nextProbeAt = m_board.now + firstProbeDelay;
    target.probesPassed = 0;
    m_board.changeState(service, target, health_state::Ejected, "score exceeds the ejection threshold: " + describeScores(target, pooled));
}

auto floor_controller::returnToRotation(service_record& service, target_record& target, const char* reason) -> void
{
    target.unhealthy = true;
    m_board.changeWeight(service, target, unhealthyWeight);
    m_board.changeState(service, target, health_state::Demoted, reason);
}

} // namespace gypsumhub
