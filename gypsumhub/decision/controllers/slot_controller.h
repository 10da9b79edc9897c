#pragma once

#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

/// Divides the targets' slots among the members of a serving group in whole slots. Every member computes the same division
/// from the register, the list and the membership, so the shares of one target never add up to more than its slots as long
/// as the members agree on these. See docs/design/slots.md.
class slot_controller {
public:
    explicit slot_controller(blackboard&);

    /// Recomputes this node's shares of the service's targets.
    auto divide(service_record&) -> void;

private:
    blackboard& m_board;
};

} // namespace gypsumhub
