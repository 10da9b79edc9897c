#pragma once

#include "gypsumhub/fleet/kj_operators.h"

// Comes last: the generated code needs the operators above.
#include "gypsumhub/gateway/node_datagram.capnp.h"
