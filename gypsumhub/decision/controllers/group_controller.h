#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/event.h"
#include "gypsumhub/decision/serving_group.h"

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace gypsumhub {

/// Chooses the serving group of each service from the nodes that are registered and alive according to the failure detector.
/// A change of membership costs a few hashes per service; only the affected groups are recomputed.
class group_controller {
public:
    explicit group_controller(blackboard&);

    /// Updates the membership and recomputes the groups that it affects.
    auto onMembership(const membership_event&) -> void;
    /// Recomputes the groups of new or resized services after a configuration change, and every group when the nodes changed.
    auto onConfiguration() -> void;

private:
    /// A registered node with its data centre index and its distance from this node.
    struct registered_candidate {
        group_candidate candidate;
        const node_spec* spec { nullptr };
        uint8_t distance { 0 };
    };

    auto haveNodesChanged() const -> bool;
    auto indexNodes() -> void;
    auto listCandidates() -> void;
    auto chooseAffected(std::span<const node_key> left, std::span<const node_key> joined) -> void;
    auto isAffected(const service_record&, std::span<const node_key> left, std::span<const node_key> joined) const -> bool;
    auto wouldJoin(const service_record&, node_key) const -> bool;
    auto isAlive(node_key) const -> bool;
    /// Members per data centre for a service of this size.
    auto membersOf(const service_record&) const -> uint32_t;
    auto makeMember(node_key) const -> member_view;
    auto chooseGroup(service_record&) -> void;

    blackboard& m_board;
    /// The configuration that `m_registered` refers to.
    std::shared_ptr<const configuration> m_config;
    std::unordered_map<node_key, registered_candidate> m_registered;
    /// The nodes of `m_registered` that are alive.
    std::vector<group_candidate> m_candidates;
};

} // namespace gypsumhub
