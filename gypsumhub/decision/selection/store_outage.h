#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// Tells an outage of the store from failed calls of this node.
///
/// Answers the load of a store that refuses or cuts calls of some nodes while it serves the others. Only while the store serves nobody for
/// longer can it lose the entries of live targets, whose removals must then be held back. A watch that is cut, or a node that is turned
/// away, says nothing about the store: the next answer, or one that another node got meanwhile, shows that it was there.
class store_outage {
public:
    /// Another node says that the store served it at `servedAt`. While this node's own calls fail, what others say in time shows that
    /// the store is there, and a long gap in it that it was not.
    auto recordServed(time_point servedAt) -> void;
    /// A call of this node failed.
    auto recordFailure(time_point now) -> void;
    /// A call of this node was answered. `servedAt` is when the store last served another node, as far as this one knows. Returns
    /// whether an outage of the store has ended.
    auto recordAnswer(time_point now, time_point servedAt) -> bool;

private:
    /// Whether the store served nobody for longer before `now`, as far as this node knows.
    auto isGapBefore(time_point now) const -> bool;

    /// The first failure since the last answer.
    time_point m_failedAt { never };
    time_point m_answeredAt {};
    /// The latest time at which the store is known to have served another node.
    time_point m_servedAt {};
    /// Since the first failure the store served nobody for longer.
    bool m_hasGap { false };
};

} // namespace gypsumhub
