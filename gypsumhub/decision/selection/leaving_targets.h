#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gypsumhub {

/// A target that stated in an answer that it is leaving.
struct leaving_target {
    std::string target;
    uint64_t incarnation { 0 };
};

/// The targets that have stated in answers that they are leaving.
///
/// Answers the load of planned stops of targets while the store is away or late: a target says so in its answers before its entry in the
/// store does. What it said to this node holds until another incarnation starts under its id, whatever older listings or nodes report.
/// What it said to another node holds for a limited time, so that a false report cannot keep a sound target out for long. Kept
/// independently of the registrations, since a registration can be missing while the store is away.
class leaving_targets {
public:
    /// Records what the target stated to this node. Returns whether it is new.
    auto recordAnswer(const leaving_target&, time_point now) -> bool;
    /// Records what the target stated to another node. Returns whether the target was not known to be leaving.
    auto recordReport(const leaving_target&, time_point now) -> bool;
    /// Until when this incarnation of the target, or an earlier one, gets no requests; zero if it is not known to be leaving.
    auto leavingUntil(std::string_view target, uint64_t incarnation) const -> time_point;
    /// Number of targets that are known to be leaving.
    auto count(time_point now) const -> size_t;

    /// Bounds memory; of more targets the one that said so first is dropped.
    static constexpr auto maxTargets = size_t { 4096 };

private:
    struct statement {
        uint64_t incarnation { 0 };
        time_point statedAt;
        time_point until;
    };

    auto record(const leaving_target&, time_point until, time_point now) -> bool;

    std::map<std::string, statement, std::less<>> m_statements;
};

} // namespace gypsumhub
