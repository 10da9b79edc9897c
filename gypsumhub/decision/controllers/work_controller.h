#pragma once

#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

/// Turns exchanges with targets into sequential test scores: the strong evidence that health is judged by.
class work_controller {
public:
    explicit work_controller(blackboard&);

    /// Takes one exchange. Costs the same whatever the number of targets, unless the target's health is in question.
    auto onAttempt(const attempt_report&) -> void;

private:
    auto onDraining(service_record&, target_record&) -> void;
    auto addFailureEvidence(service_record&, target_record&, const attempt_report&) -> void;
    auto addSuccessEvidence(service_record&, target_record&, const attempt_report&) -> void;
    auto addLatencyEvidence(service_record&, target_record&, const attempt_report&) -> void;
    auto suspectConnection(target_record&) -> void;
    auto fadeCredit(work_scores&) const -> void;

    blackboard& m_board;
};

/// Whether a broken path explains the failure as well as a sick VM.
auto isPathLike(attempt_result) -> bool;

} // namespace gypsumhub
