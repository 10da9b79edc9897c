#pragma once

#include "gypsumhub/decision/selection/watch_timing.h"

#include <optional>

namespace gypsumhub {

/// Which nodes take over watching the configuration when the store no longer answers those that do.
///
/// Answers the load of a store that answers some nodes and not others: the next nodes in line must have read a new configuration within 2 s
/// of its acknowledgement. They take over one after the other, and the rest of a large data centre does not, since a store that answers
/// nobody would be called by all at the same moment.
struct configuration_takeover {
    /// The first two nodes watch, the others take over.
    static constexpr auto watchers = 2;
    static constexpr auto nodes = watchers + 4;
    /// The next node takes over when the configuration of the watching ones is older.
    static constexpr auto ageLimit = milliseconds(1200);
    /// Until a node that has taken over has read the store and sent a hello.
    static constexpr auto step = milliseconds(100);
    static_assert(watch_timing::maxConfigurationAge < ageLimit, "nodes would take over whenever the configuration does not change for a second");

    /// How old the configuration of preceding nodes may be before a node with so many active ones before it takes over. Nullopt if it goes by their views.
    static constexpr auto maxAge(int precedingNodes) -> std::optional<duration>
    {
        if (precedingNodes < watchers || precedingNodes >= nodes)
            return std::nullopt;
        return ageLimit + step * (precedingNodes - watchers);
    }
};

} // namespace gypsumhub
