#pragma once

#include "gypsumhub/core/result_code.h"
#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <memory>
#include <string>

namespace gypsumhub {

/// A complete answer that is kept for resends with the same idempotency key.
struct kept_answer {
    uint16_t status { 0 };
    /// Header lines as received, without hop-by-hop fields.
    std::string header;
    std::string body;
};

/// Asks for permission to dispatch a request that must run at most once.
struct claim_query {
    service_key service;
    /// The caller's `Idempotency-Key`.
    std::string idempotencyKey;
    /// XXH3 of method, path and body. The same key with another digest is an error of the caller.
    uint64_t requestDigest { 0 };
    /// The caller's attempt number, from 1; 0 when the caller sends none.
    uint32_t attempt { 0 };
    /// The request's own deadline.
    time_point deadline;
};

/// Whether a claimed request may be dispatched.
enum class claim_decision : uint8_t {
    /// It was not dispatched before, and no other claim will be: send it.
    Dispatch,
    /// It ran earlier: return the kept answer.
    Replay,
    /// Refuse with the verdict's code.
    Refuse,
};

/// Answer to a `claim_query`.
struct claim_verdict {
    claim_decision decision { claim_decision::Refuse };
    /// The code to refuse with; `Ok` unless `decision` is `Refuse`.
    result_code code { result_code::Ok };
    /// The kept answer; null unless `decision` is `Replay`.
    std::shared_ptr<const kept_answer> answer;
};

/// How a claimed request ended.
enum class claim_end : uint8_t {
    /// A complete answer was received and may be kept.
    Answered,
    /// Certainly not run: nothing was sent, or the target declined.
    NotRun,
    /// Sent, and no complete answer was received.
    Unknown,
};

} // namespace gypsumhub
