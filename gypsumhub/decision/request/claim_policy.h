#pragma once

#include "gypsumhub/decision/request/claim.h"

#include <cstddef>

namespace gypsumhub {

/// What a voter knows of a key when it is asked for its vote.
struct claim_history {
    /// The voter has heard of the key.
    bool keyKnown { false };
    /// Attempts 1 to this number are proved not run.
    uint32_t notRunThrough { 0 };
    /// The voter has voted on this key's requests for longer than callers may resend them.
    bool historyComplete { false };
};

/// The two rules that keep a key from being dispatched twice. The model check replaces them to show that each is needed.
class claim_policy {
public:
    virtual ~claim_policy() = default;

    /// Votes that a claim needs out of `voters`; any two majorities share a voter.
    virtual auto quorumSize(size_t voters) const -> size_t { return voters / 2 + 1; }

    /// Whether a voter that holds no claim on the key may vote for this attempt. Attempt 1 is sent once by the caller. A later
    /// attempt needs the proof that all earlier ones did not run. Without a number only a complete history can tell.
    virtual auto mayVote(uint32_t attempt, const claim_history& known) const -> bool
    {
        if (attempt == 0)
            return known.historyComplete;
        if (attempt == 1)
            return known.notRunThrough == 0 && (!known.keyKnown || known.historyComplete);
        return known.notRunThrough + 1 == attempt;
    }
};

} // namespace gypsumhub
