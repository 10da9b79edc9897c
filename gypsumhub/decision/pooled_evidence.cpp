#include "gypsumhub/decision/pooled_evidence.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    /// Credit from which the node's own success outweighs a peer that has seen nothing but failures.
    constexpr auto contradictingCredit = -1.0F;
    /// Failures without a success between them that look like a dead path.
    constexpr auto unbrokenFailures = 2U;

    /// What chance alone gives a slow score now and then; sums over many members would add it up.
    constexpr auto chanceScore = 1.0F;

    auto nats(int32_t thousandths) -> float { return static_cast<float>(thousandths) / 1000; }

    auto isTrusted(float credit, const evidence& item) -> bool
    {
        // The peer sees only failures and this node sees success: the peer's path is the likelier culprit.
        return credit > contradictingCredit || item.failuresInRow < unbrokenFailures;
    }

} // namespace

auto poolEvidence(const target_record& target, const detection_thresholds& thresholds, time_point now) -> pooled_scores
{
    auto& own = target.scores;
    auto pooled = pooled_scores {};
    pooled.error = own.errorScore - own.connectionScore * thresholds.connectionDiscount;
    pooled.slow = own.slowScore;
    // Recent successes count only against what peers say; the own score has taken them in already.
    auto accused = 0.0F;
    auto credit = recentCredit(own, now);
    for (auto& opinion : target.peerEvidence) {
        auto& item = opinion.item;
        // During a trial, what led to the ejection does not count again.
        if (item.validUntil <= now || (target.state == health_state::Trial && item.state == health_state::Ejected))
            continue;
        if (item.errorScore <= nats(0) && item.failuresInRow == 0 && nats(item.errorScore) <= contradictingCredit)
            pooled.contradicted = true;
        if (!isTrusted(credit, item))
            continue;
        pooled.ejectedByPeer = pooled.ejectedByPeer || (item.state == health_state::Ejected && credit > contradictingCredit);
        accused += nats(item.errorScore);
        pooled.slow += std::max(0.0F, nats(item.slowScore) - chanceScore);
    }
    if (own.errorScore == 0)
        accused = std::max(0.0F, accused + credit);
    pooled.error = std::max(0.0F, pooled.error + accused);
    pooled.contradicted = pooled.contradicted && own.pathLike && own.failuresInRow >= unbrokenFailures;
    return pooled;
}

} // namespace gypsumhub
