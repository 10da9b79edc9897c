#pragma once

namespace gypsumhub {

/// Weights of the expected loss of a choice. The unit is one lost request.
struct selection_settings {
    /// A target of another data centre of the region, and of another region: links are slower and shared.
    double otherDataCentre { 0.06 };
    double otherRegion { 0.35 };
    /// A target whose slots are all in use, growing with the square of the load: some slow down when nearly full.
    double fullLoad { 0.2 };
    /// A target that has just started and is slow.
    double warmingUp { 0.08 };
    /// A target that takes twice as long as its siblings.
    double twiceAsSlow { 0.1 };
    /// A failed request that can be sent again loses little beyond its time.
    double retryableLoss { 0.3 };
    /// Advantage of a near target whose turn has come: one that has served nothing since the node started, or, while many
    /// requests of the service fail or few of its targets serve, one that has idled. A service must not be left to a few.
    double turn { 0.25 };
    /// A free target that is worse than a busy one by more than this is not worth it: the request waits for the busy one.
    double waitMargin { 0.2 };
};

} // namespace gypsumhub
