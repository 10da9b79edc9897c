#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/detection_thresholds.h"
#include "gypsumhub/decision/target_record.h"

namespace gypsumhub {

/// What this node and its peers together know of one target, in nats.
struct pooled_scores {
    float error { 0 };
    float slow { 0 };
    /// Whether a peer that had success lately contradicts a failure that a broken path explains.
    bool contradicted { false };
    /// Whether a member has ejected the target and nothing seen here speaks against it.
    bool ejectedByPeer { false };
};

/// Sums the node's own scores and the valid peerEvidence of peers.
auto poolEvidence(const target_record&, const detection_thresholds&, time_point now) -> pooled_scores;

} // namespace gypsumhub
