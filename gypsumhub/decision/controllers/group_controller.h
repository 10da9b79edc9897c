#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/event.h"
#include "gypsumhub/decision/serving_group.h"

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace gypsumhub {

/// Chooses the serving group of each service from the nodes that are registered and believed alive. A change of membership
/// costs a few hashes a service; only the groups that it touches are chosen anew.
class group_controller {
public:
    explicit group_controller(blackboard&);

    /// Takes over the membership and chooses the groups anew that it changes.
    auto onMembership(const membership_event&) -> void;
    /// After a configuration: chooses the groups of new services, and every group when the nodes changed.
    auto onConfiguration() -> void;

private:
    /// A registered node as the choice needs it.
    struct registered_candidate {
        group_candidate candidate;
        const node_spec* spec { nullptr };
        uint8_t distance { 0 };
    };

    auto haveNodesChanged() const -> bool;
    auto indexNodes() -> void;
    auto listCandidates() -> void;
    auto chooseAffected(std::span<const node_key> gone, std::span<const node_key> come) -> void;
    auto isAffected(const service_record&, std::span<const node_key> gone, std::span<const node_key> come) const -> bool;
    auto wouldJoin(const service_record&, node_key) const -> bool;
    auto isAlive(node_key) const -> bool;
    auto membersOf(const service_record&) const -> uint32_t;
    auto makeMember(node_key) const -> member_view;
    auto chooseGroup(service_record&) -> void;

    blackboard& m_board;
    /// The configuration that `m_registered` refers to.
    std::shared_ptr<const configuration> m_config;
    std::unordered_map<node_key, registered_candidate> m_registered;
    /// Those of `m_registered` that are believed alive.
    std::vector<group_candidate> m_candidates;
};

} // namespace gypsumhub
