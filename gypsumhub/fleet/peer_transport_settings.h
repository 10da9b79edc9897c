#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/fleet/control_meter.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// Listening address of a peer and the distance to it.
struct peer_address {
    endpoint address;
    peer_distance distance { peer_distance::SameDataCentre };
};

/// Settings of `peer_transport`.
struct peer_transport_settings {
    node_key self;
    /// Start time of this process in nanoseconds.
    uint64_t incarnation { 0 };
    /// Port 0 lets the system choose one.
    endpoint listenAddress;
    /// Shared keys in hexadecimal; the first signs, all verify.
    std::vector<std::string> keys;
    /// Seed of the jitter.
    uint64_t seed { 1 };
};

/// Counters of a transport since its start.
struct peer_transport_counts {
    uint64_t framesSent { 0 };
    uint64_t messagesReceived { 0 };
    uint64_t connectionsOpened { 0 };
    uint64_t connectionsFailed { 0 };
    /// Messages dropped because a queue was full or they waited too long.
    uint64_t messagesDropped { 0 };
    /// Frames refused by `PeerUnauthenticated`, `PeerFrameInvalid` and `PeerFrameReplayed`.
    uint64_t refusedUnauthenticated { 0 };
    uint64_t refusedInvalid { 0 };
    uint64_t refusedReplayed { 0 };
};

} // namespace gypsumhub
