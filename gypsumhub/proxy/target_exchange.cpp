#include "gypsumhub/proxy/target_exchange.h"

#include "gypsumhub/proxy/header_names.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>

namespace gypsumhub {

namespace {

    constexpr auto maxAnswerHeaderBytes = uint32_t { 64 * 1024 };
    constexpr auto firstBodyBytes = size_t { 4 * 1024 };
    constexpr auto partBytes = size_t { 64 * 1024 };
    // Interim answers that one exchange skips before it counts as broken.
    constexpr auto maxInterimAnswers = 8;

    auto isInterim(unsigned status) -> bool
    {
        return status >= 100 && status < 200;
    }

} // namespace

target_exchange::target_exchange(
    const proxy_context& context, target_connection& connection, answer_sink& sink, request_cancellation& cancellation)
    : m_context(context)
    , m_connection(connection)
    , m_sink(sink)
    , m_cancellation(cancellation)
    , m_held(context)
{
}

auto target_exchange::run(const outbound& request, request_state& state, uint32_t attempt) -> task<exchange_outcome>
{
    auto outcome = exchange_outcome {};
    if (m_cancellation.cancelled() || !state.permitSend(attempt, m_context.now())) {
        // Nothing was written, so the connection stays as it was.
        outcome.result = attempt_result::Cancelled;
        outcome.reusable = true;
        co_return outcome;
    }
    m_cancellation.setHandler([this] { m_connection.abort(abort_reason::CallerGone); });
    auto sent = co_await send(request);
    auto holder = std::optional<parser> {};
    auto error = error_code {};
    if (!sent)
        error = asio::error::connection_reset;
    else
        error = co_await readHead(holder, request.head.method() == http::verb::head);
    if (error) {
        outcome.result = failureOf(error, false);
        m_cancellation.setHandler(nullptr);
        co_return outcome;
    }

    auto& parser = *holder;
    auto& answer = outcome.answer;
    answer.head = parser.get().base();
    auto echoed = answer.head[header_names::requestId];
    auto belongs = echoed.empty() || echoed == request.requestId;
    // Without a length or chunks the end of the answer cannot be told from a cut.
    auto isFramed = !parser.need_eof();
    if (!belongs || !isFramed) {
        outcome.result = belongs ? attempt_result::CutAnswer : attempt_result::MismatchedAnswer;
        m_cancellation.setHandler(nullptr);
        co_return outcome;
    }

    error = co_await readWhole(parser, answer);
    if (!error && !parser.is_done()) {
        state.markForwarding();
        error = co_await passOn(parser, answer);
    }
    m_cancellation.setHandler(nullptr);
    if (error) {
        outcome.result = failureOf(error, true);
        co_return outcome;
    }
    outcome.result = judge(answer);
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

auto target_exchange::readHead(std::optional<parser>& holder, bool withoutBody) -> task<error_code>
{
    for (auto count = 0; count < maxInterimAnswers; ++count) {
        holder.emplace();
        holder->header_limit(maxAnswerHeaderBytes);
        holder->body_limit(boost::none);
        holder->skip(withoutBody);
        auto [error, bytes] = co_await http::async_read_header(m_connection.socket(), m_connection.buffer(), *holder, useTask);
        m_answerBegun = m_answerBegun || holder->got_some();
        if (error)
            co_return error;
        m_connection.noteAnswerBegun();
        auto status = holder->get().result_int();
        if (!isInterim(status))
            co_return error_code {};
        if (status == 101)
            break;
    }
    co_return http::error::bad_status;
}

auto target_exchange::readWhole(parser& parser, target_answer& answer) -> task<error_code>
{
    auto limit = size_t { m_context.settings.bufferedAnswerBytes };
    auto& body = answer.body;
    auto filled = size_t { 0 };
    auto wanted = std::min<uint64_t>(parser.content_length().value_or(firstBodyBytes), limit);
    while (!parser.is_done()) {
        if (filled == body.size()) {
            // Grow by doubling; beyond the limit, or when the server holds too much, the rest is passed on in parts.
            auto next = std::min(limit, std::max<size_t>(wanted, filled * 2));
            if (next <= filled || !m_held.growTo(next))
                break;
            body.resize(next);
        }
        auto& part = parser.get().body();
        part.data = body.data() + filled;
        part.size = body.size() - filled;
        auto offered = part.size;
        auto [error, bytes] = co_await http::async_read(m_connection.socket(), m_connection.buffer(), parser, useTask);
        filled += offered - part.size;
        if (error && error != http::error::need_buffer)
            co_return error;
    }
    body.resize(filled);
    co_return error_code {};
}

auto target_exchange::passOn(parser& parser, target_answer& answer) -> task<error_code>
{
    answer.passedOn = true;
    increment(m_context.counters.streamedAnswers);
    auto length = std::optional<uint64_t> {};
    if (parser.content_length())
        length = *parser.content_length();
    auto taken = co_await m_sink.begin(answer.head, length);
    if (taken)
        taken = co_await m_sink.write(answer.body);
    if (!taken) {
        m_connection.abort(abort_reason::CallerGone);
        co_return asio::error::operation_aborted;
    }
    auto& buffer = answer.body;
    buffer.resize(partBytes);
    while (!parser.is_done()) {
        auto& part = parser.get().body();
        part.data = buffer.data();
        part.size = buffer.size();
        auto [error, bytes] = co_await http::async_read(m_connection.socket(), m_connection.buffer(), parser, useTask);
        if (error && error != http::error::need_buffer)
            co_return error;
        auto received = std::string_view(buffer.data(), buffer.size() - part.size);
        taken = co_await m_sink.write(received);
        if (!taken) {
            m_connection.abort(abort_reason::CallerGone);
            co_return asio::error::operation_aborted;
        }
    }
    taken = co_await m_sink.end();
    if (!taken)
        m_connection.abort(abort_reason::CallerGone);
    buffer.clear();
    co_return error_code {};
}

auto target_exchange::failureOf(const error_code&, bool headComplete) const -> attempt_result
{
    switch (m_connection.abortReason()) {
    case abort_reason::CallerGone:
        return attempt_result::Cancelled;
    case abort_reason::DeadlinePassed:
        return headComplete || m_answerBegun ? attempt_result::HungAfterHeader : attempt_result::Silent;
    case abort_reason::SilentConnection:
        return attempt_result::Silent;
    case abort_reason::None:
        break;
    }
    return headComplete || m_answerBegun ? attempt_result::CutAnswer : attempt_result::ConnectionLost;
}

auto target_exchange::judge(const target_answer& answer) const -> attempt_result
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
