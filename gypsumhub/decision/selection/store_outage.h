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
    /// A call of this node failed.
    auto recordFailure(time_point now) -> void;
    /// A call of this node was answered. `servedAt` is when the store last served another node, as far as this one knows. Returns
    /// whether an outage of the store has ended.
    auto recordAnswer(time_point now, time_point servedAt) -> bool;

private:
    /// The first failure since the last answer.
    time_point m_failedAt { never };
    time_point m_answeredAt {};
};

} // namespace gypsumhub
