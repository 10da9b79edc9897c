#pragma once

#include "gypsumhub/core/fault.h"

#include <ostream>
#include <string_view>

namespace gypsumhub {

/// Replays the trace file at `path` through the decision cores. Prints every expected outcome with the observed result, then figures,
/// one line each. Fails with `FileUnreadable`, `TraceInvalid`, or `TraceOutcomeMissed` with one fault for each missed outcome.
auto runReplay(std::string_view path, std::ostream&) -> leaf::result<void>;

} // namespace gypsumhub
