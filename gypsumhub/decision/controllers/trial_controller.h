#pragma once

#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

/// Brings targets back: probes those set aside, one member for the group, then gives them a trickle of work.
class trial_controller {
public:
    explicit trial_controller(blackboard&);

    /// Starts the probes and trials that are due, and ends the trials that were passed.
    auto advance(service_record&) -> void;
    /// Puts a target on trial.
    auto startTrial(service_record&, target_record&, const char* why) -> void;

private:
    auto advanceEjected(service_record&, target_record&) -> void;
    auto advanceTrial(service_record&, target_record&) -> void;
    auto startProbe(service_record&, target_record&, duration untilNext) -> void;
    auto isProber(const service_record&, const target_record&) const -> bool;

    blackboard& m_board;
};

} // namespace gypsumhub
