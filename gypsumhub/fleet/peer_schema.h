#pragma once

#include "gypsumhub/fleet/kj_operators.h"

// Must be last: the generated code needs the operators above.
#include "gypsumhub/fleet/peer.capnp.h"
