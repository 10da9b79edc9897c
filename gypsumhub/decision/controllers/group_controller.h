#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/event.h"
#include "gypsumhub/decision/serving_group.h"

#include <vector>

namespace gypsumhub {

/// Chooses the serving group of each service from the nodes that are registered and believed alive.
class group_controller {
public:
    explicit group_controller(blackboard&);

    /// Takes over the membership and chooses every group anew.
    auto onMembership(const membership_event&) -> void;
    /// Chooses every group anew, after a configuration.
    auto chooseGroups() -> void;

private:
    auto candidates() const -> std::vector<group_candidate>;
    auto isAlive(node_key) const -> bool;
    auto chooseGroup(service_record&, const std::vector<group_candidate>&) -> void;

    blackboard& m_board;
};

} // namespace gypsumhub
