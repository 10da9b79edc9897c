#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/controllers/trial_controller.h"
#include "gypsumhub/decision/detection_thresholds.h"
#include "gypsumhub/decision/pooled_evidence.h"

#include <vector>

namespace gypsumhub {

/// Classifies each target by the pooled evidence: healthy, demoted, unhealthy or leaving. `floor_controller` decides whether an
/// unhealthy target is ejected.
class health_controller {
public:
    health_controller(blackboard&, trial_controller&);

    /// Updates state and weight of every target of a service.
    auto evaluate(service_record&) -> void;

private:
    /// Updates whether the service is degraded.
    auto updateDegraded(service_record&, const detection_thresholds&) -> void;
    /// Lowers the pooled scores by what the siblings have in common.
    auto discountShared(const service_record&) -> void;
    auto endDegraded(service_record&) -> void;
    auto evaluateTarget(service_record&, target_record&, const detection_thresholds&) -> void;
    /// Moves a target into or out of `Leaving`. True while it is leaving.
    auto applyDeparture(service_record&, target_record&) -> bool;
    auto isUnhealthy(const service_record&, const target_record&, const pooled_scores&, const detection_thresholds&) const -> bool;
    auto awaitsPeers(const service_record&, target_record&) -> bool;
    /// Demotes a target whose path from this node is suspected.
    auto avoidPath(service_record&, target_record&) -> void;
    auto applyScore(service_record&, target_record&, const pooled_scores&, const detection_thresholds&) -> void;

    blackboard& m_board;
    trial_controller& m_trials;
    /// Scratch space: the pooled scores of the service that is being evaluated, in order of target.
    std::vector<pooled_scores> m_pooled;
};

/// The scores and samples of a target in one line of text.
auto describeScores(const target_record&, const pooled_scores&) -> std::string;

} // namespace gypsumhub
