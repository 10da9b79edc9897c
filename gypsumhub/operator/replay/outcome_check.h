#pragma once

#include "gypsumhub/operator/replay/replay_log.h"
#include "gypsumhub/operator/replay/replay_trace.h"

#include <string>
#include <vector>

namespace gypsumhub {

/// How one stated outcome came out.
struct outcome_result {
    bool reached { false };
    /// What was seen, in one line.
    std::string seen;
};

/// Holds one stated outcome of the trace against the log of its replay.
auto checkOutcome(const expected_outcome&, const replay_trace&, const replay_log&) -> outcome_result;

/// The words of a trace line for a stated outcome: "ejected-by vm3 at 12 s".
auto describe(const expected_outcome&) -> std::string;

} // namespace gypsumhub
