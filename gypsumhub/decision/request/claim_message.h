#pragma once

#include "gypsumhub/decision/request/claim.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace gypsumhub {

/// Asks a voter of an idempotency key for its vote.
struct claim_message {
    /// Names the claim in the whole fleet.
    uint64_t requestId { 0 };
    claim_query query;
};

/// A voter's answer: `Dispatch` is its vote, `Replay` the kept answer, `Refuse` says why it does not vote.
struct claim_verdict_message {
    uint64_t requestId { 0 };
    claim_verdict verdict;
};

/// Tells a voter how a claimed request ended, or that it is in flight.
struct claim_record_message {
    uint64_t requestId { 0 };
    claim_query query;
    /// Absent while the request may still be running.
    std::optional<claim_end> end;
    std::optional<kept_answer> answer;
    time_point keptUntil;
};

/// Confirms that a `claim_record_message` is held.
struct claim_record_ack_message {
    uint64_t requestId { 0 };
    bool held { false };
};

/// Everything that nodes say to each other about idempotency keys.
using claim_peer_message = std::variant<claim_message, claim_verdict_message, claim_record_message, claim_record_ack_message>;

} // namespace gypsumhub
