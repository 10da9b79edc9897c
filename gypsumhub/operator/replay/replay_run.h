#pragma once

#include "gypsumhub/operator/replay/replay_log.h"
#include "gypsumhub/operator/replay/replay_trace.h"

namespace gypsumhub {

/// Plays a trace through one decision core for each driven node, in virtual time. Equal traces give equal logs.
auto replayTrace(const replay_trace&) -> replay_log;

} // namespace gypsumhub
