#pragma once

#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

/// Divides the targets' slots among the members of a serving group in whole slots. Every member computes the same division
/// from the register, the platform's list and the membership. The shares of one target never add up to more than its slots
/// while the members agree on these inputs. See docs/design/slots.md.
class slot_controller {
public:
    explicit slot_controller(blackboard&);

    /// Recomputes this node's slot shares of the service's targets if they are stale.
    auto divide(service_record&) -> void;

private:
    blackboard& m_board;
};

} // namespace gypsumhub
