#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/upload_queue.h"

#include <cstdint>

namespace gypsumhub {

/// What `configuration_replicator` must know at its start. The defaults are those of the product; tests turn mechanisms off.
struct replicator_settings {
    node_key self;
    uint64_t seed { 1 };
    /// Nodes of each data centre that watch the store and talk to other regions.
    uint32_t readersPerDataCentre { 2 };
    /// Between two digests sent to a peer.
    duration digestInterval { seconds(5) };
    /// Whether digests are exchanged at all.
    bool exchangesDigests { true };
    /// Whether there are seeds to learn from; without any a node turns to the store at once.
    bool hasSeeds { true };
    /// Between two questions to the peers that a node without configuration knows.
    duration greetInterval { seconds(2) };
    /// How long a node without configuration listens to peers before it takes one.
    duration learnDelay { seconds(1) };
    /// Spread of the instants at which nodes without configuration turn to the store themselves.
    duration coldReadSpread { seconds(3) };
    /// How long a node that is no reader waits for nearer peers before it fetches from another region.
    duration farDelay { seconds(3) };
    /// How long a peer may take to answer a request for changes; another is asked then.
    duration answerTimeout { seconds(1) };
    /// How long a peer may take for the next part of a whole configuration.
    duration partTimeout { seconds(3) };
    /// Limits of what this node sends of revisions, by distance.
    upload_queue::rates uploadBytesPerSecond { 8'000'000, 4'000'000, 500'000 };
};

} // namespace gypsumhub
