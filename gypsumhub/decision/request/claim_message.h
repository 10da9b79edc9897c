#pragma once

#include "gypsumhub/decision/request/claim.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace gypsumhub {

/// Asks a voter of an idempotency key for its vote.
struct claim_message {
    /// Identifies the claim in the whole fleet.
    uint64_t requestId { 0 };
    claim_query query;
};

/// A voter's answer: `Dispatch` is its vote, `Replay` carries the kept answer, `Refuse` carries the reason for no vote.
struct claim_verdict_message {
    uint64_t requestId { 0 };
    claim_verdict verdict;
};

/// Reports to a voter how a claimed request ended, or that it is in flight.
struct claim_record_message {
    uint64_t requestId { 0 };
    claim_query query;
    /// Absent while the request may still be running.
    std::optional<claim_end> end;
    std::optional<kept_answer> answer;
    time_point keptUntil;
};

/// Acknowledges a `claim_record_message`; `held` is false when the receiver's table is full.
struct claim_record_ack_message {
    uint64_t requestId { 0 };
    bool held { false };
};

/// Any message between nodes about idempotency keys.
using claim_peer_message = std::variant<claim_message, claim_verdict_message, claim_record_message, claim_record_ack_message>;

} // namespace gypsumhub
