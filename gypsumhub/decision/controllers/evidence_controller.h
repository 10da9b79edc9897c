#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/controllers/trial_controller.h"
#include "gypsumhub/decision/event.h"

#include <vector>

namespace gypsumhub {

/// Exchanges evidence with the other members of a service's serving group: on change, only about targets in question, in
/// bounded bytes.
class evidence_controller {
public:
    evidence_controller(blackboard&, trial_controller&);

    /// Takes in what a member says.
    auto onEvidence(const evidence_event&) -> void;
    /// Forgets what a member said.
    auto onPeerLost(const peer_lost_event&) -> void;
    /// Tells the group what changed.
    auto share(service_record&) -> void;
    /// Lets old suspicion fade and drops peerEvidence that lost their validity.
    auto expire(service_record&) -> void;

private:
    auto takeIn(node_key sender, const evidence&) -> void;
    auto answerAccusation(service_record&, target_record&, node_key sender, const evidence&) -> void;
    auto makeItem(const service_record&, const target_record&) const -> evidence;
    auto isWorthTelling(const target_record&, const evidence&) const -> bool;
    auto takeBudget(size_t receivers, size_t items, bool urgent) -> bool;

    blackboard& m_board;
    trial_controller& m_trials;
    /// Bytes that may still be sent, and up to when they have been credited.
    float m_budget { 0 };
    time_point m_creditedUntil { 0 };
};

} // namespace gypsumhub
