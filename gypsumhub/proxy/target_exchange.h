#pragma once

#include "gypsumhub/decision/attempt_report.h"
#include "gypsumhub/decision/request/request_state.h"
#include "gypsumhub/proxy/answer_sink.h"
#include "gypsumhub/proxy/buffer_reservation.h"
#include "gypsumhub/proxy/proxy_context.h"
#include "gypsumhub/proxy/request_cancellation.h"
#include "gypsumhub/proxy/target_connection.h"

#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// A target's or peer's answer.
struct target_answer {
    /// As received.
    http::response_header<> head;
    /// The whole body, unless it was passed on in parts.
    std::string body;
    /// Whether the answer went to the sink in parts.
    bool streamed { false };
};

/// How one exchange ended.
struct exchange_outcome {
    attempt_result result { attempt_result::ConnectionLost };
    /// Whether the connection may carry another exchange.
    bool reusable { false };
    /// Complete when the result is `Success`, `ErrorAnswer`, `Shed` or `Draining`.
    target_answer answer;
};

/// One request and its answer on one connection.
class target_exchange {
public:
    /// What is sent.
    struct outbound {
        const http::request_header<>& head;
        std::string_view body;
        std::string_view requestId;
    };

    target_exchange(const proxy_context&, target_connection&, answer_sink&, request_cancellation&);

    /// Asks `state` for permission right before the first byte, sends the request and reads the answer. Answers up to the
    /// buffered size are returned whole; larger ones go to the sink in parts.
    auto run(const outbound&, request_state& state, uint32_t attempt) -> task<exchange_outcome>;

private:
    using parser = http::response_parser<http::buffer_body>;

    auto send(const outbound&) -> task<bool>;
    auto readHead(std::optional<parser>&, bool withoutBody) -> task<error_code>;
    auto readBuffered(parser&, target_answer&) -> task<error_code>;
    auto streamRest(parser&, target_answer&) -> task<error_code>;
    auto classifyFailure(const error_code&, bool headComplete) const -> attempt_result;
    auto classify(const target_answer&) const -> attempt_result;

    const proxy_context& m_context;
    target_connection& m_connection;
    answer_sink& m_sink;
    request_cancellation& m_cancellation;
    buffer_reservation m_reservation;
    bool m_answerStarted { false };
};

} // namespace gypsumhub
