#pragma once

#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

/// Turns exchanges with targets into sequential test scores: the strong evidence that health is evaluated by.
class work_controller {
public:
    explicit work_controller(blackboard&);

    /// Takes one exchange. Costs the same whatever the number of targets, unless the target's health is in question.
    auto onAttempt(const attempt_report&) -> void;
    /// Counts exchanges that stay open long after they were reported overdue.
    auto countHangs(const service_record&, target_record&) -> void;

private:
    auto onDraining(service_record&, target_record&) -> void;
    auto addFailureEvidence(service_record&, target_record&, const attempt_report&, float counted) -> void;
    auto addSuccessEvidence(service_record&, target_record&, const attempt_report&, float counted) -> void;
    auto addLatencyEvidence(service_record&, target_record&, const attempt_report&) -> void;
    /// Removes the open exchange that began at this time and returns the score it was counted with, or 0.
    auto settleOverdue(work_scores&, time_point startedAt) const -> float;
    auto suspectConnection(target_record&) -> void;
    auto countRecent(work_scores&, bool failed) const -> void;

    blackboard& m_board;
};

/// Whether a broken path explains the failure as well as a sick VM.
auto mayBePathFailure(attempt_result) -> bool;

} // namespace gypsumhub
