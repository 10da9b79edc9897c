#pragma once

#include "gypsumhub/decision/blackboard.h"

#include <cstddef>

namespace gypsumhub {

/// Ejects convicted targets as far as the floor allows, and takes back the least sick when the floor rises or capacity falls.
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
    auto takeBackExcess(service_record&, size_t limit) -> void;
    auto yieldToPeers(service_record&, size_t limit) -> void;
    auto ejectConvicted(service_record&, size_t limit) -> void;
    auto swapForSicker(service_record&, target_record& convicted) -> bool;
    auto eject(service_record&, target_record&) -> void;
    auto takeBack(service_record&, target_record&, const char* why) -> void;
    auto claimOf(const target_record&) const -> float;

    blackboard& m_board;
};

} // namespace gypsumhub
