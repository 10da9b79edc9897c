#include "gypsumhub/proxy/target_exchange.h"

#include "gypsumhub/core/http_status.h"
#include "gypsumhub/store/http_reading.h"

#include "gypsumhub/proxy/header_names.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>

namespace gypsumhub {

namespace {

    constexpr auto maxAnswerHeaderBytes = uint32_t { 64 * 1024 };
    constexpr auto firstBodyBytes = size_t { 4 * 1024 };
    constexpr auto partBytes = size_t { 64 * 1024 };
    // An exchange fails after this many interim answers (status 1xx).
    constexpr auto maxInterimAnswers = 8;

} // namespace

target_exchange::target_exchange(
    const proxy_context& context, target_connection& connection, answer_sink& sink, request_cancellation& cancellation)
    : m_context(context)
    , m_connection(connection)
    , m_sink(sink)
    , m_cancellation(cancellation)
    , m_reservation(context)
{
}

auto target_exchange::run(const outbound& request, request_state& state, uint32_t attempt) -> task<exchange_outcome>
{
    auto outcome = exchange_outcome {};
    if (m_cancellation.cancelled() || !state.permitSend(attempt, m_context.now())) {
        // Nothing was written, so the connection can be reused.
        outcome.result = attempt_result::Cancelled;
        outcome.reusable = true;
        co_return outcome;
    }
    m_cancellation.setHandler([this] { m_connection.abort(abort_reason::CallerDisconnected); });
    auto sent = co_await send(request);
    auto storage = std::optional<parser> {};
    auto error = error_code {};
    if (!sent)
        error = asio::error::connection_reset;
    else
        error = co_await readHead(storage, request.head.method() == http::verb::head);
    if (error) {
        outcome.result = classifyFailure(error, false);
        m_cancellation.setHandler(nullptr);
        co_return outcome;
    }

    auto& parser = *storage;
    auto& answer = outcome.answer;
    answer.head = parser.get().base();
    auto echoed = answer.head[header_names::requestId];
    auto matchesRequest = echoed.empty() || echoed == request.requestId;
    // Without a length or chunks, a complete answer cannot be distinguished from a cut one.
    auto isFramed = !parser.need_eof();
    if (!matchesRequest || !isFramed) {
        outcome.result = matchesRequest ? attempt_result::CutAnswer : attempt_result::MismatchedAnswer;
        m_cancellation.setHandler(nullptr);
        co_return outcome;
    }

    error = co_await readBuffered(parser, answer);
    if (!error && !parser.is_done()) {
        state.markForwarding();
        error = co_await streamRest(parser, answer);
    }
    m_cancellation.setHandler(nullptr);
    if (error) {
        outcome.result = classifyFailure(error, true);
        co_return outcome;
    }
    outcome.result = classify(answer);
    outcome.reusable = parser.keep_alive() && m_connection.buffer().size() == 0 && m_connection.abortReason() == abort_reason::None;
    co_return outcome;
}

auto target_exchange::send(const outbound& request) -> task<bool>
{
    using body_type = http::span_body<const char>;
    auto message = http::request<body_type>(request.head);
    message.body() = { request.body.data(), request.body.size() };
    auto [error, written] = co_await http::async_write(m_connection.socket(), message, useTask);
    co_return !error;
}

auto target_exchange::readHead(std::optional<parser>& storage, bool withoutBody) -> task<error_code>
{
    for (auto count = 0; count < maxInterimAnswers; ++count) {
        storage.emplace();
        m_feed = {};
        storage->header_limit(maxAnswerHeaderBytes);
        storage->body_limit(boost::none);
        storage->skip(withoutBody);
        auto error = co_await readHttpHead(m_connection.socket(), m_connection.buffer(), *storage, m_feed);
        m_answerStarted = m_answerStarted || storage->got_some() || m_connection.buffer().size() > 0;
        if (error)
            co_return error;
        m_connection.markAnswerStarted();
        auto status = storage->get().result_int();
        if (isInterimStatus(status))
            continue;
        if (!isFinalStatus(status))
            break;
        co_return error_code {};
    }
    co_return http::error::bad_status;
}

auto target_exchange::readBuffered(parser& parser, target_answer& answer) -> task<error_code>
{
    auto limit = size_t { m_context.settings.bufferedAnswerBytes };
    auto& body = answer.body;
    auto filled = size_t { 0 };
    auto initialSize = std::min<uint64_t>(parser.content_length().value_or(firstBodyBytes), limit);
    while (!parser.is_done()) {
        if (filled == body.size()) {
            // The buffer grows by doubling. At its limit, or when the server's buffer memory is exhausted, the rest is streamed.
            auto next = std::min(limit, std::max<size_t>(initialSize, filled * 2));
            if (next <= filled || !m_reservation.growTo(next))
                break;
            body.resize(next);
        }
        auto& part = parser.get().body();
        part.data = body.data() + filled;
        part.size = body.size() - filled;
        auto offered = part.size;
        auto error = co_await readHttpBody(m_connection.socket(), m_connection.buffer(), parser, m_feed);
        filled += offered - part.size;
        if (error && error != http::error::need_buffer)
            co_return error;
    }
    body.resize(filled);
    co_return error_code {};
}

auto target_exchange::streamRest(parser& parser, target_answer& answer) -> task<error_code>
{
    answer.streamed = true;
    increment(m_context.counters.streamedAnswers);
    auto length = std::optional<uint64_t> {};
    if (parser.content_length())
        length = *parser.content_length();
    auto sent = co_await m_sink.begin(answer.head, length);
    if (sent)
        sent = co_await m_sink.write(answer.body);
    if (!sent) {
        m_connection.abort(abort_reason::CallerDisconnected);
        co_return asio::error::operation_aborted;
    }
    auto& buffer = answer.body;
    buffer.resize(partBytes);
    while (!parser.is_done()) {
        auto& part = parser.get().body();
        part.data = buffer.data();
        part.size = buffer.size();
        auto error = co_await readHttpBody(m_connection.socket(), m_connection.buffer(), parser, m_feed);
        if (error && error != http::error::need_buffer)
            co_return error;
        auto received = std::string_view(buffer.data(), buffer.size() - part.size);
        sent = co_await m_sink.write(received);
        if (!sent) {
            m_connection.abort(abort_reason::CallerDisconnected);
            co_return asio::error::operation_aborted;
        }
    }
    sent = co_await m_sink.end();
    if (!sent)
        m_connection.abort(abort_reason::CallerDisconnected);
    buffer.clear();
    co_return error_code {};
}

auto target_exchange::classifyFailure(const error_code&, bool headComplete) const -> attempt_result
{
    switch (m_connection.abortReason()) {
    case abort_reason::CallerDisconnected:
        return attempt_result::Cancelled;
    case abort_reason::DeadlinePassed:
        return headComplete || m_answerStarted ? attempt_result::HungAfterHeader : attempt_result::Silent;
    case abort_reason::SilentConnection:
        return attempt_result::Silent;
    case abort_reason::None:
        break;
    }
    return headComplete || m_answerStarted ? attempt_result::CutAnswer : attempt_result::ConnectionLost;
}

auto target_exchange::classify(const target_answer& answer) const -> attempt_result
{
    auto status = answer.head.result_int();
    if (status < 500)
        return attempt_result::Success;
    auto declined = answer.head[header_names::declined];
    if (status == 503 && declined == "shed")
        return attempt_result::Shed;
    if (status == 503 && declined == "draining")
        return attempt_result::Draining;
    return attempt_result::ErrorAnswer;
}

} // namespace gypsumhub
