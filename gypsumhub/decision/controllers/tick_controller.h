#pragma once

#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

/// Does what falls due with time: rates, overdue limits, and a look at services with anything unsettled.
class tick_controller {
public:
    explicit tick_controller(blackboard&);

    auto onTick() -> void;

private:
    auto needsEvaluation(const service_record&) const -> bool;
    auto updateRates(service_record&) -> void;

    blackboard& m_board;
    time_point m_nextRates { 0 };
};

} // namespace gypsumhub
