#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/detection_thresholds.h"
#include "gypsumhub/decision/target_record.h"

namespace gypsumhub {

/// Scores of one target pooled over this node and its peers, in nats.
struct pooled_scores {
    float error { 0 };
    float slow { 0 };
    /// Whether this node's failures may be path failures and a peer has recent successes.
    bool contradicted { false };
    /// Whether a member has ejected the target and this node has no recent successes that contradict it.
    bool ejectedByPeer { false };
};

/// Sums the node's own scores and the valid evidence of peers.
auto poolEvidence(const target_record&, const detection_thresholds&, time_point now) -> pooled_scores;

} // namespace gypsumhub
