#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <deque>

namespace gypsumhub {

/// This node's part of the fleet-wide retry budget of one service. In any window the fleet may send retries for a share of its
/// requests plus a fixed reserve. Each node is limited to that share of its own requests plus its part of the reserve, so the
/// fleet stays within the bound without coordination.
class fleet_retry_budget {
public:
    /// The fleet-wide bound: `share` of the requests plus `reserve` retries in any `window`.
    struct settings {
        double share { 0.2 };
        double reserve { 60 };
        duration window { seconds(10) };
    };

    explicit fleet_retry_budget(settings given)
        : m_settings(given)
    {
    }

    auto recordRequest(time_point now) -> void;
    /// Consumes one retry. Returns false when the budget of the window is spent. `reserveShare` is this node's part of the
    /// reserve; the parts of all nodes add up to at most 1.
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
    /// Counts of the current window, each bucket a tenth of it, oldest first.
    std::deque<bucket> m_buckets;
};

} // namespace gypsumhub
