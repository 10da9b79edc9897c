#pragma once

#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

/// Handles ticks: updates rates and overdue limits, and marks services whose targets need another evaluation.
class tick_controller {
public:
    explicit tick_controller(blackboard&);

    /// Runs the periodic work that is due.
    auto onTick() -> void;

private:
    auto needsEvaluation(const service_record&) const -> bool;
    auto updateRates(service_record&) -> void;

    blackboard& m_board;
    time_point m_nextRates { 0 };
};

} // namespace gypsumhub
