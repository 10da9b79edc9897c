#pragma once

#include "gypsumhub/decision/blackboard.h"

#include <cstddef>

namespace gypsumhub {

/// Ejects unhealthy targets as far as the floor allows, and takes back the least sick when the floor rises or capacity falls.
///
/// Invariant after `apply`: targets in rotation >= min(floor, registered targets that are not leaving or gone). It rests on
/// this node's own state only, so it holds whatever peers say or fail to say. What peers say may only lower the number of
/// ejections further: see docs/design/ejection.md.
class floor_controller {
public:
    explicit floor_controller(blackboard&);

    /// Applies the floor to one service.
    auto apply(service_record&) -> void;

private:
    auto returnExcess(service_record&, size_t limit) -> void;
    auto limitAcrossGroup(service_record&, size_t limit) -> void;
    auto ejectUnhealthy(service_record&, size_t limit) -> void;
    auto swapForWorse(service_record&, target_record& unhealthy) -> bool;
    auto eject(service_record&, target_record&) -> void;
    auto returnToRotation(service_record&, target_record&, const char* why) -> void;
    auto ejectionStrength(const target_record&) const -> float;

    blackboard& m_board;
};

} // namespace gypsumhub
