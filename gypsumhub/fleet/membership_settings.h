#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/contact_rings.h"

#include <cstdint>

namespace gypsumhub {

/// Settings of `membership`. The defaults are those of production; tests turn mechanisms off.
struct membership_settings {
    node_key self;
    /// Start time of this process in nanoseconds since the Unix epoch.
    uint64_t incarnation { 1 };
    uint64_t seed { 1 };
    ring_counts rings {};
    duration probeInterval { seconds(1) };
    /// Time to wait for the answer to a direct probe before indirect probes are requested.
    duration directTimeout { milliseconds(500) };
    /// Time to wait for the indirect probes after that.
    duration indirectTimeout { milliseconds(1200) };
    /// Number of nodes that probe on behalf of this node; 0 turns indirect probes off.
    uint32_t helpers { 3 };
    /// Time that a suspected node has to refute the suspicion, on the nodes that probe it; other nodes wait twice as long.
    duration suspicionTimeout { seconds(3) };
    /// Whether this node refutes false claims about its own state.
    bool refutes { true };
    /// One in this many probes goes to a dead node; 0 turns this off.
    uint32_t deadProbePeriod { 10 };
    /// One in this many rounds of probes includes the contacts in other regions.
    uint32_t crossRegionRoundPeriod { 4 };
    duration gossipInterval { milliseconds(200) };
    /// A longer time without a tick or message counts as a pause of the process, after which its view is stale.
    duration maxTickGap { seconds(2) };
    /// A node that receives neither pings nor answers for this time is isolated and stops declaring others dead.
    duration isolationTimeout { seconds(10) };
};

} // namespace gypsumhub
