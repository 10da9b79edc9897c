#pragma once

#include "gypsumhub/core/http_feed.h"
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

/// An answer from a target or peer.
struct target_answer {
    /// As received.
    http::response_header<> head;
    /// The complete body, unless the answer was streamed.
    std::string body;
    /// Whether the answer was streamed to the sink.
    bool streamed { false };
};

/// Result of one exchange.
struct exchange_outcome {
    attempt_result result { attempt_result::ConnectionLost };
    /// Whether the connection may carry another exchange.
    bool reusable { false };
    /// Complete when the result is `Success`, `ErrorAnswer`, `Shed` or `Draining`.
    target_answer answer;
};

/// Sends one request on a connection and reads its answer.
class target_exchange {
public:
    /// The request to send. The referenced data must outlive the exchange.
    struct outbound {
        const http::request_header<>& head;
        std::string_view body;
        std::string_view requestId;
    };

    target_exchange(const proxy_context&, target_connection&, answer_sink&, request_cancellation&);

    /// Checks immediately before the first byte that `state` permits sending, sends the request and reads the answer. Small
    /// answers are returned complete; answers that are too large to buffer are streamed to the sink.
    auto run(const outbound&, request_state& state, uint32_t attempt) -> task<exchange_outcome>;

private:
    using parser = http::response_parser<http::buffer_body>;

    /// Of the answer that is being read.
    http_feed m_feed;

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
