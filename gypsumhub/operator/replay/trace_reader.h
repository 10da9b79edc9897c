#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/operator/replay/replay_trace.h"

#include <string_view>

namespace gypsumhub {

/// Reads a trace file in JSON Lines format. Fails with `FileUnreadable`, or with every fault of the trace as `TraceInvalid`.
auto readTrace(std::string_view path) -> leaf::result<replay_trace>;

/// Parses a trace from text. Faults contain `name` as the file.
auto parseTrace(std::string_view text, std::string_view name) -> leaf::result<replay_trace>;

} // namespace gypsumhub
