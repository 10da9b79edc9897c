#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/upload_queue.h"

#include <cstdint>

namespace gypsumhub {

/// Settings of `configuration_replicator`. The defaults are those of production; tests turn mechanisms off.
struct replicator_settings {
    node_key self;
    uint64_t seed { 1 };
    /// Designated readers per data centre: nodes that watch the store and exchange digests with other regions.
    uint32_t readersPerDataCentre { 2 };
    /// Mean time between two anti-entropy digests.
    duration digestInterval { seconds(5) };
    /// Whether digests are exchanged at all.
    bool exchangesDigests { true };
    /// Whether there are seed peers; without any a node reads the store at once.
    bool hasSeeds { true };
    /// Time between two queries to the known peers while the node has no configuration.
    duration queryInterval { seconds(2) };
    /// How long a node without configuration collects digests of peers before it downloads one.
    duration discoveryDelay { seconds(1) };
    /// Interval over which the first store reads of nodes without configuration are spread.
    duration coldReadSpread { seconds(3) };
    /// How long a node other than a designated reader waits for nearer peers before it downloads from another region; a jitter of
    /// up to the same length is added.
    duration crossRegionDelay { seconds(3) };
    /// Timeout of a request for changes, after which another peer is asked.
    duration answerTimeout { seconds(1) };
    /// Timeout for the next part of a whole configuration.
    duration partTimeout { seconds(3) };
    /// Upload rate limits for revision parts, by distance.
    upload_queue::rates uploadBytesPerSecond { 8'000'000, 4'000'000, 500'000 };
};

} // namespace gypsumhub
