#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/controllers/trial_controller.h"
#include "gypsumhub/decision/detection_thresholds.h"
#include "gypsumhub/decision/pooled_evidence.h"

#include <vector>

namespace gypsumhub {

/// Judges each target by the pooled evidence: healthy, demoted, unhealthy, leaving. Whether a unhealthy target is ejected is
/// the floor's to say.
class health_controller {
public:
    health_controller(blackboard&, trial_controller&);

    /// Judges every target of a service.
    auto judge(service_record&) -> void;

private:
    auto updateDegraded(service_record&, const detection_thresholds&) -> void;
    auto discountShared(const service_record&) -> void;
    auto endDegraded(service_record&) -> void;
    auto evaluateTarget(service_record&, target_record&, const detection_thresholds&) -> void;
    auto applyDeparture(service_record&, target_record&) -> bool;
    auto isUnhealthy(const service_record&, const target_record&, const pooled_scores&, const detection_thresholds&) const -> bool;
    auto awaitsPeers(const service_record&, target_record&) -> bool;
    auto avoidPath(service_record&, target_record&) -> void;
    auto applyScore(service_record&, target_record&, const pooled_scores&, const detection_thresholds&) -> void;

    blackboard& m_board;
    trial_controller& m_trials;
    /// Scratch space: the pooled scores of the service at hand, in order of target.
    std::vector<pooled_scores> m_pooled;
};

/// The evidence of a target in one line for people.
auto describeScores(const target_record&, const pooled_scores&) -> std::string;

} // namespace gypsumhub
