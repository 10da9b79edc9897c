#pragma once

#include "gypsumhub/decision/blackboard.h"

#include <cstddef>

namespace gypsumhub {

/// Ejects unhealthy targets as far as the floor allows. Returns the targets with the lowest scores to rotation when the floor
/// rises or the number of available targets falls.
///
/// Invariant after `apply`: targets in rotation >= min(floor, registered targets that are not leaving or gone). It depends on
/// this node's own state only, so it also holds when evidence from peers is wrong or missing. Evidence from peers can only
/// lower the number of ejections further: see docs/design/ejection.md.
class floor_controller {
public:
    explicit floor_controller(blackboard&);

    /// Applies the floor to one service.
    auto apply(service_record&) -> void;

private:
    /// Returns targets to rotation until at most `limit` are ejected.
    auto returnExcess(service_record&, size_t limit) -> void;
    /// Returns targets to rotation when all members together eject more than `limit`.
    auto limitAcrossGroup(service_record&, size_t limit) -> void;
    auto ejectUnhealthy(service_record&, size_t limit) -> void;
    auto swapForWorse(service_record&, target_record& unhealthy) -> bool;
    auto eject(service_record&, target_record&) -> void;
    auto returnToRotation(service_record&, target_record&, const char* reason) -> void;
    /// Sum of the own scores, in nats, of all members that ejected the target; 0 if none did.
    auto ejectionStrength(const target_record&) const -> float;

    blackboard& m_board;
};

} // namespace gypsumhub
