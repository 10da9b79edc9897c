#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/controllers/trial_controller.h"
#include "gypsumhub/decision/event.h"

#include <vector>

namespace gypsumhub {

/// Exchanges evidence with the other members of a service's serving group. Evidence is sent on change, only for targets that are
/// not healthy, and within a byte budget.
class evidence_controller {
public:
    evidence_controller(blackboard&, trial_controller&);

    /// Applies evidence that a member sent.
    auto onEvidence(const evidence_event&) -> void;
    /// Discards the evidence that a member sent before.
    auto onPeerLost(const peer_lost_event&) -> void;
    /// Sends changed evidence to the other members.
    auto share(service_record&) -> void;
    /// Removes expired peer evidence and decays old error scores.
    auto expire(service_record&) -> void;

private:
    auto applyItem(node_key sender, const evidence&) -> void;
    auto replyToSuspicion(service_record&, target_record&, node_key sender, const evidence&) -> void;
    auto makeItem(const service_record&, const target_record&) const -> evidence;
    auto shouldSend(const target_record&, const evidence&) const -> bool;
    auto spendBudget(size_t receivers, size_t items, bool urgent) -> bool;

    blackboard& m_board;
    trial_controller& m_trials;
    /// Bytes that may still be sent; negative when urgent changes overdrew the budget.
    float m_budget { 0 };
    time_point m_refilledAt { 0 };
};

} // namespace gypsumhub
