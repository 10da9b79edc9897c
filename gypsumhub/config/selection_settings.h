#pragma once

#include <cstdint>

namespace gypsumhub {

/// Weights of the expected loss of choosing a target. The unit is one lost request.
struct selection_settings {
    /// Added for a target in another data centre of the region, or in another region: links to it are slower and shared.
    double otherDataCentreLoss { 0.06 };
    double otherRegionLoss { 0.35 };
    /// Added for a target whose slots are all in use, and scaled by the square of the load below that: some targets slow down when
    /// nearly full.
    double fullLoadLoss { 0.2 };
    /// Added for a target that is still warming up and therefore slow.
    double warmingUpLoss { 0.08 };
    /// Added for a target that takes twice as long as the other targets of its service.
    double twiceAsSlowLoss { 0.1 };
    /// Loss of an answer that misses its latency target, where the cost of requests is learned. Late answers keep 11 to 50 % of their value.
    double missedTargetLoss { 0.7 };
    /// Loss of a failed request that can be retried. It loses little beyond its time.
    double retryableLoss { 0.3 };
    /// Exploration bonus, subtracted for a target of the node's data centre that has served nothing since the node started, and several
    /// times for one that has been idle for long. Keeps a service from depending on a few targets.
    double explorationBonus { 0.25 };
    /// A request waits for a busy target when its expected loss is lower than that of the best free target by more than this.
    double waitMargin { 0.2 };
    /// The learned cost of requests and service after the latency target apply to services all of whose targets run at most so many requests
    /// at once. 0: to none.
    uint32_t fewSlots { 0 };
};

} // namespace gypsumhub
