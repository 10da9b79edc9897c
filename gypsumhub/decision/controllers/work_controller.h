#pragma once

#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

/// Converts exchanges with targets into the scores of a sequential test, the main evidence about health.
class work_controller {
public:
    explicit work_controller(blackboard&);

    /// Adds the evidence of one exchange. The cost does not depend on the number of targets while the target is healthy.
    auto onAttempt(const attempt_report&) -> void;
    /// Adds to the error score for exchanges that are still open long after they were reported overdue.
    auto countHangs(const service_record&, target_record&) -> void;

private:
    auto onDraining(service_record&, target_record&) -> void;
    auto addFailureEvidence(service_record&, target_record&, const attempt_report&, float counted) -> void;
    auto addSuccessEvidence(service_record&, target_record&, const attempt_report&, float counted) -> void;
    auto addLatencyEvidence(service_record&, target_record&, const attempt_report&) -> void;
    /// Removes the overdue exchange that started at this time and returns its part of the error score, or 0 if there is none.
    auto settleOverdue(work_scores&, time_point startedAt) const -> float;
    auto suspectConnection(target_record&) -> void;
    auto countRecent(work_scores&, bool failed) const -> void;

    blackboard& m_board;
};

/// Whether a failed path can cause this result as well as an unhealthy VM.
auto mayBePathFailure(attempt_result) -> bool;

} // namespace gypsumhub
