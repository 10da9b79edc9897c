#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <deque>

namespace gypsumhub {

/// This node's part of the fleet-wide bound on repeats of one service: in any window, a share of the requests plus a
/// reserve. Each node keeps to the share of its own requests and an equal part of the reserve, so that the sum keeps the
/// bound without messages.
class fleet_retry_budget {
public:
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
    /// Takes one repeat, or returns false when the window holds as many as the bound allows. `reserveShare` is this node's
    /// part of the reserve; the parts of all nodes add up to 1 at most.
    auto tryConsume(time_point now, double reserveShare) -> bool;

private:
    struct bucket {
        time_point beganAt;
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };

    auto current(time_point now) -> bucket&;

    settings m_settings;
    /// The window in tenths, oldest first.
    std::deque<bucket> m_buckets;
};

} // namespace gypsumhub
