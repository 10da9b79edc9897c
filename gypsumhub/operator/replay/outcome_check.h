#pragma once

#include "gypsumhub/operator/replay/replay_log.h"
#include "gypsumhub/operator/replay/replay_trace.h"

#include <string>
#include <vector>

namespace gypsumhub {

/// Result of the check of one expected outcome.
struct outcome_result {
    bool reached { false };
    /// Observed result, as one line of text.
    std::string observed;
};

/// Checks one expected outcome of the trace against the log of its replay.
auto checkOutcome(const expected_outcome&, const replay_trace&, const replay_log&) -> outcome_result;

/// Formats an expected outcome in the terms of a trace line, for example "ejected-by vm3 at 12 s".
auto describe(const expected_outcome&) -> std::string;

} // namespace gypsumhub
