#pragma once

#include "gypsumhub/decision/request/claim.h"

#include <functional>
#include <memory>

namespace gypsumhub {

/// Grants or refuses the dispatch of a non-idempotent request that carries an idempotency key. Implemented above the proxy
/// layer; may be called from any request thread.
class claim_port {
public:
    virtual ~claim_port() = default;

    /// Decides the claim and calls `done` exactly once, no later than the query's deadline, on an unspecified thread.
    virtual auto claim(claim_query, std::function<void(claim_verdict)> done) -> void = 0;

    /// Completes a claim whose verdict was `Dispatch`. `answer` is set when `end` is `Answered`.
    virtual auto finish(const claim_query&, claim_end end, std::shared_ptr<const kept_answer> answer) -> void = 0;
};

} // namespace gypsumhub
