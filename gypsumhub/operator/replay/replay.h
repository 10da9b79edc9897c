#pragma once

#include "gypsumhub/core/fault.h"

#include <ostream>
#include <string_view>

namespace gypsumhub {

/// Replays the trace file at `path` through the decision cores and prints every stated outcome with what was seen, then figures,
/// one line each. Fails with `FileUnreadable`, `TraceInvalid`, or `TraceOutcomeMissed` naming the outcomes that were missed.
auto runReplay(std::string_view path, std::ostream&) -> leaf::result<void>;

} // namespace gypsumhub
