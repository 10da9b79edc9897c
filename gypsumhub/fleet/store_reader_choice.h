#pragma once

#include "gypsumhub/fleet/membership.h"

namespace gypsumhub {

/// Whether `self` is one of the `readersPerDataCentre` living nodes of its data centre that watch the store: chosen by
/// rendezvous hashing, without agreement, so for a while there may be more or fewer, which costs calls or seconds, nothing else.
auto isStoreReader(const membership&, node_key self, uint32_t readersPerDataCentre) -> bool;

} // namespace gypsumhub
