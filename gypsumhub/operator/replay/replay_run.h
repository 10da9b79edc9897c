#pragma once

#include "gypsumhub/operator/replay/replay_log.h"
#include "gypsumhub/operator/replay/replay_trace.h"

namespace gypsumhub {

/// Replays a trace in virtual time, with one decision core for each driven node. Equal traces produce equal logs.
auto replayTrace(const replay_trace&) -> replay_log;

} // namespace gypsumhub
