#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/operator/replay/replay_trace.h"

#include <string_view>

namespace gypsumhub {

/// Reads a trace of JSON lines. Fails with `FileUnreadable`, or with every fault of the trace as `TraceInvalid`.
auto readTrace(std::string_view path) -> leaf::result<replay_trace>;

/// Reads a trace from text; `name` goes into the faults.
auto parseTrace(std::string_view text, std::string_view name) -> leaf::result<replay_trace>;

} // namespace gypsumhub
