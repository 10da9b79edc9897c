#include "gypsumhub/decision/pooled_evidence.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    /// Credit, in nats, up to which own successes outweigh a peer that reports only failures.
    constexpr auto contradictingCredit = -1.0F;
    /// Consecutive failures from which a failed path is possible.
    constexpr auto consecutiveFailures = 2U;

    /// Part of each peer's slow score, in nats, that chance can cause; a sum over many members would accumulate it.
    constexpr auto chanceScore = 1.0F;

    auto nats(int32_t thousandths) -> float { return static_cast<float>(thousandths) / 1000; }

    auto isAccepted(float credit, const evidence& item) -> bool
    {
        // When the peer has only failures and this node has successes, the peer's path has probably failed.
        return credit > contradictingCredit || item.failuresInRow < consecutiveFailures;
    }

} // namespace

auto poolEvidence(const target_record& target, const detection_thresholds& thresholds, time_point now) -> pooled_scores
{
    auto& own = target.scores;
    auto pooled = pooled_scores {};
    pooled.error = own.errorScore - own.connectionScore * thresholds.connectionDiscount;
    pooled.slow = own.slowScore;
    // Recent successes are subtracted from peers' scores only; the own score already includes them.
    auto peerError = 0.0F;
    auto credit = recentCredit(own, now);
    for (auto& entry : target.peerEvidence) {
        auto& item = entry.item;
        // During a trial, the evidence that led to the ejection does not count again.
        if (item.validUntil <= now || (target.state == health_state::Trial && item.state == health_state::Ejected))
            continue;
        if (item.errorScore <= nats(0) && item.failuresInRow == 0 && nats(item.errorScore) <= contradictingCredit)
            pooled.contradicted = true;
        if (!isAccepted(credit, item))
            continue;
        pooled.ejectedByPeer = pooled.ejectedByPeer || (item.state == health_state::Ejected && credit > contradictingCredit);
        peerError += nats(item.errorScore);
        pooled.slow += std::max(0.0F, nats(item.slowScore) - chanceScore);
    }
    if (own.errorScore == 0)
        peerError = std::max(0.0F, peerError + credit);
    pooled.error = std::max(0.0F, pooled.error + peerError);
    pooled.contradicted = pooled.contradicted && own.onlyPathFailures && own.failuresInRow >= consecutiveFailures;
    return pooled;
}

} // namespace gypsumhub
