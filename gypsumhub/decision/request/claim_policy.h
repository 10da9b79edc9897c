#pragma once

#include "gypsumhub/decision/request/claim.h"

#include <cstddef>

namespace gypsumhub {

/// A voter's record of a key when it is asked for its vote.
struct claim_history {
    /// The voter has an entry for the key.
    bool keyKnown { false };
    /// Attempts 1 to this number certainly did not run.
    uint32_t notRunThrough { 0 };
    /// The voter has been a voter of this key for longer than callers may resend its requests.
    bool historyComplete { false };
};

/// The two rules that prevent a key from being dispatched twice. The model check replaces them to show that both are needed.
class claim_policy {
public:
    virtual ~claim_policy() = default;

    /// Votes that a claim needs out of `voters`: a majority, since any two majorities share a voter.
    virtual auto quorumSize(size_t voters) const -> size_t { return voters / 2 + 1; }

    /// Whether a voter that has granted the key to no claim may vote for this attempt. Attempt 1 is sent once by the caller. A
    /// later attempt requires that all earlier ones certainly did not run. Attempt 0 (no number) requires a complete history.
    virtual auto mayVote(uint32_t attempt, const claim_history& history) const -> bool
    {
        if (attempt == 0)
            return history.historyComplete;
        if (attempt == 1)
            return history.notRunThrough == 0 && (!history.keyKnown || history.historyComplete);
        return history.notRunThrough + 1 == attempt;
    }
};

} // namespace gypsumhub
