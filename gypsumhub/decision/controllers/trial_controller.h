#pragma once

#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

/// Returns ejected targets to rotation. One member of the group sends health probes; after enough of them pass, a trial gives the
/// target a small share of the work.
class trial_controller {
public:
    explicit trial_controller(blackboard&);

    /// Starts the health probes and trials that are due, and ends the trials that were passed.
    auto advance(service_record&) -> void;
    /// Moves a target to the trial state and resets its evidence.
    auto startTrial(service_record&, target_record&, const char* reason) -> void;

private:
    auto advanceEjected(service_record&, target_record&) -> void;
    auto advanceTrial(service_record&, target_record&) -> void;
    auto startProbe(service_record&, target_record&, duration untilNext) -> void;
    /// Whether this node sends the health probes to an ejected target at present.
    auto isProber(const service_record&, const target_record&) const -> bool;

    blackboard& m_board;
};

} // namespace gypsumhub
