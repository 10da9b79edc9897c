#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/result_code.h"
#include "gypsumhub/decision/request/claim.h"
#include "gypsumhub/proxy/target_exchange.h"

#include <memory>
#include <string_view>

namespace gypsumhub {

/// What a caller gets.
struct caller_answer {
    result_code code { result_code::Ok };
    request_outcome outcome { request_outcome::Answered };
    http::response<http::string_body> message;
    /// Whether the answer already went out in parts.
    bool streamed { false };
    /// Whether the connection must be closed so that the caller sees the answer fail.
    bool cut { false };
};

/// A refusal with the code's status, outcome and text, as JSON.
auto makeRefusal(result_code, std::string_view requestId) -> caller_answer;

/// A target's complete answer. `answerTo` is the request's method, since answers to HEAD carry a length and no body.
auto makeTargetAnswer(target_answer&&, http::verb answerTo, std::string_view requestId) -> caller_answer;

/// An answer that a peer gave, with the outcome that the peer stated.
auto makePeerAnswer(target_answer&&, http::verb answerTo, std::string_view requestId) -> caller_answer;

/// Keeps an answer for resends of its idempotency key.
auto makeKeptAnswer(const target_answer&) -> std::shared_ptr<const kept_answer>;

/// A kept answer as it goes to the caller who sent the request again.
auto makeReplayedAnswer(const kept_answer&, std::string_view requestId) -> caller_answer;

/// Sets the product's fields of an answer.
auto setOutcomeFields(http::fields&, result_code, request_outcome, std::string_view requestId) -> void;

} // namespace gypsumhub
