#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// Ends the process with status 0 at `when`, by a thread of its own, whatever the other threads do. Replaces an earlier call.
auto forceEndAt(time_point when) -> void;

/// Ends the process with status 0 at once, without destructors: the system closes its connections and frees its memory faster.
[[noreturn]] auto endProcess() -> void;

} // namespace gypsumhub
