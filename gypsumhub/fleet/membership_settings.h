#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/contact_rings.h"

#include <cstdint>

namespace gypsumhub {

/// What `membership` must know at its start. The defaults are those of the product; tests turn mechanisms off.
struct membership_settings {
    node_key self;
    /// Start time of this process in nanoseconds since the Unix epoch.
    uint64_t incarnation { 1 };
    uint64_t seed { 1 };
    ring_counts rings {};
    duration probeInterval { seconds(1) };
    /// How long a probed node may take before others are asked to probe it.
    duration directTimeout { milliseconds(500) };
    /// How long the others may take altogether.
    duration indirectTimeout { milliseconds(1200) };
    /// Nodes asked to probe in this node's place; 0 turns indirect checks off.
    uint32_t helpers { 3 };
    /// How long a suspected node may take to refute it, as seen by its watchers; others wait twice as long.
    duration suspicionTimeout { seconds(3) };
    /// Whether this node refutes claims that it is absent.
    bool refutes { true };
    /// Every so many probes one goes to a node believed dead; 0 turns this off.
    uint32_t deadProbePeriod { 10 };
    /// Every so many rounds of probes include the contacts in other regions.
    uint32_t crossRegionRoundPeriod { 4 };
    duration gossipInterval { milliseconds(200) };
    /// A longer time between two ticks means that the process was paused and that its knowledge is old.
    duration maxTickGap { seconds(2) };
    /// A node that hears nobody for so long counts itself as cut off and stops judging others.
    duration isolationTimeout { seconds(10) };
};

} // namespace gypsumhub
