#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/controllers/trial_controller.h"
#include "gypsumhub/decision/detection_thresholds.h"
#include "gypsumhub/decision/pooled_evidence.h"

#include <vector>

namespace gypsumhub {

/// Judges each target by the pooled evidence: healthy, demoted, convicted, leaving. Whether a convicted target is ejected is
/// the floor's to say.
class health_controller {
public:
    health_controller(blackboard&, trial_controller&);

    /// Judges every target of a service.
    auto judge(service_record&) -> void;

private:
    auto updateTrouble(service_record&, const detection_thresholds&) -> void;
    auto discountShared(const service_record&) -> void;
    auto endTrouble(service_record&) -> void;
    auto judgeTarget(service_record&, target_record&, const detection_thresholds&) -> void;
    auto followDeparture(service_record&, target_record&) -> bool;
    auto isConvicted(const service_record&, const target_record&, const pooled_scores&, const detection_thresholds&) const -> bool;
    auto awaitsGroup(const service_record&, target_record&) -> bool;
    auto avoidPath(service_record&, target_record&) -> void;
    auto followScore(service_record&, target_record&, const pooled_scores&, const detection_thresholds&) -> void;

    blackboard& m_board;
    trial_controller& m_trials;
    /// Scratch space: the pooled scores of the service at hand, in order of target.
    std::vector<pooled_scores> m_pooled;
};

/// The evidence of a target in one line for people.
auto describeScores(const target_record&, const pooled_scores&) -> std::string;

} // namespace gypsumhub
