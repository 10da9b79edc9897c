#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <deque>

namespace gypsumhub {

/// This node's part of the fleet-wide retry budget of one service. In any window the fleet may send retries for a share of its
/// requests plus a fixed reserve. Each node is limited to that share of its own requests plus its part of the reserve, so the
/// fleet stays within the bound without coordination.
///
/// Answers the load of many failures while nodes are killed and started again in series. A process does not know what an earlier one of
/// its node has spent. During its first window it therefore uses no share of its requests, so that of all processes of a node only one
/// does in any window, and its part of the reserve grows from nothing, so that all of them together use it twice at most. The parts that
/// the nodes have add up to half of the reserve.
class fleet_retry_budget {
public:
    /// The fleet-wide bound: `share` of the requests plus `reserve` retries in any `window`.
    struct settings {
        double share { 0.2 };
        double reserve { 60 };
        duration window { seconds(10) };
        /// When the process started.
        time_point startedAt {};
    };

    explicit fleet_retry_budget(settings given)
        : m_settings(given)
    {
    }

    auto recordRequest(time_point now) -> void;
    /// Consumes one retry. Returns false when the budget of the window is spent. `reserveShare` is this node's part of the
    /// reserve; the parts of all nodes add up to at most 0.5.
    auto tryConsume(time_point now, double reserveShare) -> bool;

private:
    /// Counts of one tenth of the window.
    struct bucket {
        time_point beganAt;
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };

    /// Drops expired buckets and returns the one that contains `now`.
    auto current(time_point now) -> bucket&;

    settings m_settings;
    /// Counts of the current window and a tenth of it before, each bucket a tenth, oldest first.
    std::deque<bucket> m_buckets;
};

} // namespace gypsumhub
