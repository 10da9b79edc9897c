#pragma once

#include "gypsumhub/fleet/membership.h"

namespace gypsumhub {

/// Whether `self` is a designated reader: one of the `readersPerDataCentre` alive nodes of its data centre that watch the store.
/// The choice is by rendezvous hashing without coordination. While views differ there may be more or fewer readers, which costs
/// only extra store calls or a delay.
auto isStoreReader(const membership&, node_key self, uint32_t readersPerDataCentre) -> bool;

} // namespace gypsumhub
