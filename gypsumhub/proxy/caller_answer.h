#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/result_code.h"
#include "gypsumhub/decision/request/claim.h"
#include "gypsumhub/proxy/target_exchange.h"

#include <memory>
#include <string_view>

namespace gypsumhub {

/// An answer to a caller: the HTTP message and how the request ended.
struct caller_answer {
    result_code code { result_code::Ok };
    request_outcome outcome { request_outcome::Answered };
    http::response<http::string_body> message;
    /// Whether the answer was already streamed to the caller; `message` is not sent then.
    bool streamed { false };
    /// Whether a streamed answer is incomplete; the connection is reset so that the caller detects it.
    bool cut { false };
};

/// Makes a refusal with the code's HTTP status, outcome and text; the body is JSON.
auto makeRefusal(result_code, std::string_view requestId) -> caller_answer;

/// Converts a target's answer. `answerTo` is the request's method, since answers to HEAD carry a length and no body.
auto makeTargetAnswer(target_answer&&, http::verb answerTo, std::string_view requestId) -> caller_answer;

/// Converts a peer's answer and adopts the result code and outcome from its header fields.
auto makePeerAnswer(target_answer&&, http::verb answerTo, std::string_view requestId) -> caller_answer;

/// Copies an answer for storage under its idempotency key.
auto makeKeptAnswer(const target_answer&) -> std::shared_ptr<const kept_answer>;

/// Makes the answer to a repeated request from the stored answer of its idempotency key.
auto makeReplayedAnswer(const kept_answer&, std::string_view requestId) -> caller_answer;

/// Sets the `Gypsumhub-` header fields of an answer: outcome, result and, unless empty, the request id.
auto setOutcomeFields(http::fields&, result_code, request_outcome, std::string_view requestId) -> void;

} // namespace gypsumhub
