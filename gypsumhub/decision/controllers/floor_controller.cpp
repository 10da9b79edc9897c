#include "gypsumhub/decision/controllers/floor_controller.h"

#include "gypsumhub/decision/controllers/health_controller.h"

#include <algorithm>
#include <cassert>

namespace gypsumhub {

namespace {

    constexpr auto firstSetAside = seconds(10);
    constexpr auto longestSetAside = minutes(5);
    /// Ejections within this time of each other lengthen the set-aside.
    constexpr auto ejectionMemory = minutes(10);
    constexpr auto firstProbeDelay = seconds(1);
    /// How much sicker a target in rotation must be to take an ejected one's place, in nats.
    constexpr auto swapMargin = 10.0F;

    /// Claim of a member that ejected on what others have seen.
    constexpr auto leastClaim = 0.001F;

    auto currentScore(const service_record& service, const target_record& target, time_point now) -> float
    {
        auto pooled = poolEvidence(target, thresholdsFor(service.spec->rules.preference), now);
        return std::max(pooled.error, pooled.slow);
    }

    auto isEjected(const target_record& target) -> bool { return target.state == health_state::Ejected; }

    auto isSicker(const std::pair<float, target_record*>& a, const std::pair<float, target_record*>& b) -> bool
    {
        // Equal scores are ordered by key, so that all members choose alike.
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
    takeBackExcess(service, limit);
    yieldToPeers(service, limit);
    ejectConvicted(service, limit);
    assert(static_cast<size_t>(std::ranges::count_if(service.targets, isInRotation)) >= std::min(available, service.floorCount()));
}

auto floor_controller::takeBackExcess(service_record& service, size_t limit) -> void
{
    auto ejected = static_cast<size_t>(std::ranges::count_if(service.targets, isEjected));
    while (ejected > limit) {
        auto* leastSick = static_cast<target_record*>(nullptr);
        for (auto& target : service.targets) {
            if (isEjected(target) && (!leastSick || target.ejectionScore < leastSick->ejectionScore))
                leastSick = &target;
        }
        takeBack(service, *leastSick, "the floor needs it: the least sick of those set aside");
        --ejected;
    }
}

auto floor_controller::claimOf(const target_record& target) const -> float
{
    // Every member adds up the same numbers: what each ejecting member has seen itself.
    auto claim = isEjected(target) ? std::max(std::max(target.scores.errorScore, target.scores.slowScore), leastClaim) : 0.0F;
    for (auto& opinion : target.peerEvidence) {
        auto& item = opinion.item;
        if (item.state == health_state::Ejected && item.validUntil > m_board.now)
            claim += std::max(static_cast<float>(std::max(item.errorScore, item.slowScore)) / 1000, leastClaim);
    }
    return claim;
}

auto floor_controller::yieldToPeers(service_record& service, size_t limit) -> void
{
    // Everything that any member has ejected, the strongest claim first; members see the same claims and cut the same tail.
    auto claims = std::vector<std::pair<float, target_record*>> {};
    for (auto& target : service.targets) {
        auto claim = isDeparting(target, m_board.now) ? 0 : claimOf(target);
        if (claim > 0)
            claims.emplace_back(claim, &target);
    }
    if (claims.size() <= limit)
        return;
    std::ranges::sort(claims, isSicker);
    for (auto position = limit; position < claims.size(); ++position) {
        if (isEjected(*claims[position].second))
            takeBack(service, *claims[position].second, "peers have set aside sicker ones up to the floor");
    }
}

auto floor_controller::ejectConvicted(service_record& service, size_t limit) -> void
{
    auto convicted = std::vector<std::pair<float, target_record*>> {};
    auto out = size_t { 0 };
    for (auto& target : service.targets) {
        if (!isDeparting(target, m_board.now) && claimOf(target) > 0)
            ++out;
        if (target.convicted && isInRotation(target))
            convicted.emplace_back(currentScore(service, target, m_board.now), &target);
    }
    std::ranges::sort(convicted, isSicker);
    for (auto& [score, target] : convicted) {
        // One that a peer has ejected already takes nothing more from the service's capacity.
        auto counted = claimOf(*target) > 0;
        auto own = static_cast<size_t>(std::ranges::count_if(service.targets, isEjected));
        if (own < limit && (counted || out < limit)) {
            out += counted ? 0 : 1;
            eject(service, *target);
        } else if (!swapForSicker(service, *target)) {
            target->reason = "kept in by the floor: " + describeScores(*target, poolEvidence(*target, thresholdsFor(service.spec->rules.preference), m_board.now));
        }
    }
}

auto floor_controller::swapForSicker(service_record& service, target_record& convicted) -> bool
{
    auto* leastSick = static_cast<target_record*>(nullptr);
    for (auto& target : service.targets) {
        if (isEjected(target) && (!leastSick || target.ejectionScore < leastSick->ejectionScore))
            leastSick = &target;
    }
    if (!leastSick || currentScore(service, convicted, m_board.now) < leastSick->ejectionScore + swapMargin)
        return false;
    takeBack(service, *leastSick, "a sicker one takes its place under the floor");
    eject(service, convicted);
    return true;
}

auto floor_controller::eject(service_record& service, target_record& target) -> void
{
    auto pooled = poolEvidence(target, thresholdsFor(service.spec->rules.preference), m_board.now);
    target.ejectionScore = std::max(pooled.error, pooled.slow);
    target.convicted = false;
    // Each remembered ejection doubles the set-aside.
    auto doublings = std::min(target.recentEjections, 5U);
    ++target.recentEjections;
    target.forgiveAt = m_board.now + ejectionMemory;
    target.setAsideUntil = m_board.now + std::min(firstSetAside * (int64_t { 1 } << doublings), longestSetAside);
    target.nextProbeAt = m_board.now + firstProbeDelay;
    target.probesPassed = 0;
    m_board.changeState(service, target, health_state::Ejected, "evidence suffices: " + describeScores(target, pooled));
}

auto floor_controller::takeBack(service_record& service, target_record& target, const char* why) -> void
{
    target.convicted = true;
    m_board.changeWeight(service, target, convictedWeight);
    m_board.changeState(service, target, health_state::Demoted, why);
}

} // namespace gypsumhub
