#include "gypsumhub/gateway/target_http_connection.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/http_status.h"
#include "gypsumhub/platform/wire_names.h"
#include "gypsumhub/store/http_reading.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <sys/socket.h>

namespace gypsumhub {

namespace {

    constexpr auto maxAnswerBytes = uint64_t { 16 * 1024 * 1024 };
    // A target that sends more interim (1xx) answers than this to one request does not send a final one.
    constexpr auto maxInterimAnswers = 8;
    // Bounds the memory of a connection to a target that keeps rejecting requests.
    constexpr auto maxFailedIds = size_t { 32 };
    // After more answers to other requests than this, the expected answer is not going to arrive.
    constexpr auto maxStrayAnswers = 3;

    // The `timeout` of a Keep-Alive field in seconds, or nullopt.
    auto keepAliveSeconds(std::string_view field) -> std::optional<int64_t>
    {
        constexpr auto name = std::string_view { "timeout=" };
        auto position = field.find(name);
        if (position == std::string_view::npos)
            return std::nullopt;
        auto digits = field.substr(position + name.size());
        auto count = int64_t { 0 };
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
        return error == std::errc {} ? std::optional(count) : std::nullopt;
    }

} // namespace

target_http_connection::target_http_connection(asio::io_context& context, buffer_budget& budget)
    : m_context(context)
    , m_budget(budget)
    , m_socket(context.get_executor())
    , m_timer(context.get_executor())
{
}

auto target_http_connection::bindTo(const std::string& address) -> void
{
    auto error = error_code {};
    auto number = asio::ip::make_address(address, error);
    if (error || number.is_unspecified())
        return;
    m_socket.open(number.is_v4() ? tcp::v4() : tcp::v6(), error);
    m_socket.bind({ number, 0 }, error);
}

auto target_http_connection::connect(const endpoint& address, time_point deadline) -> task<bool>
{
    auto parseError = error_code {};
    auto number = asio::ip::make_address(address.address, parseError);
    if (parseError)
        co_return false;
    m_timer.arm(deadline, [this] { closeNow(m_socket); });
    auto [error] = co_await m_socket.async_connect({ number, address.port }, useTask);
    m_timer.disarm();
    if (error || !m_socket.is_open())
        co_return false;
    setNoDelay(m_socket);
    m_isReusable = true;
    co_return true;
}

auto target_http_connection::abandon() -> void
{
    m_isAbandoned = true;
    closeNow(m_socket);
}

auto target_http_connection::limitDeadline(time_point latest) -> void
{
    if (latest < m_deadline)
        armDeadline(latest);
}

auto target_http_connection::armDeadline(time_point deadline) -> void
{
    m_deadline = deadline;
    m_timer.arm(deadline, [this] {
        m_hasTimedOut = true;
        closeNow(m_socket);
    });
}

auto target_http_connection::mayCarry(std::string_view requestId) const -> bool
{
    return !requestId.empty() && std::ranges::find(m_failedIds, requestId) == m_failedIds.end();
}

auto target_http_connection::isUsable() -> bool
{
    if (!isReusable() || m_buffer.size() > 0)
        return false;
    auto byte = char {};
    auto count = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto target_http_connection::writeAll(std::string head, std::shared_ptr<const std::string> body) -> task<>
{
    auto buffers = std::array<asio::const_buffer, 2> { asio::buffer(head), asio::buffer(*body) };
    auto [error, written] = co_await asio::async_write(m_socket, buffers, useTask);
    m_isWriting = false;
    // The kernel reports a reset only once. If the write receives it, the read sees an orderly end of the connection. A broken pipe means
    // that the target had ended its side before the reset, so that everything it sent has arrived.
    m_isResetDuringWrite = error && error != asio::error::broken_pipe;
}

auto target_http_connection::exchange(const outbound_request& request, time_point deadline) -> task<exchange_result>
{
    auto result = exchange_result {};
    m_isReusable = false;
    m_hasInvalidStatus = false;
    m_isResetDuringWrite = false;
    m_isWriting = true;
    armDeadline(deadline);
    // The answer may arrive before the target has read a long body, so writing and reading run concurrently.
    asio::co_spawn(
        m_context.get_executor(), [self = shared_from_this(), head = request.head, body = request.body]() -> task<> { co_await self->writeAll(head, body); },
        asio::detached);
    for (auto stray = 0; stray <= maxStrayAnswers; ++stray) {
        auto isComplete = co_await readAnswer(request, result);
        if (!isComplete) {
            result.end = failedEnd();
            break;
        }
        // Targets repeat the id of the request. Any other answer is a late copy of an earlier one.
        if (result.answer[wire_names::requestId] == request.id) {
            result.end = exchange_end::Answered;
            m_isReusable = m_isReusable && stray == 0;
            break;
        }
        result.end = exchange_end::Lost;
        result.answer = {};
    }
    if (result.end != exchange_end::Answered)
        result.memory = {};
    m_timer.disarm();
    if (result.end == exchange_end::Answered && result.answer.result_int() / 100 != 2)
        m_failedIds.push_back(request.id);
    if (m_failedIds.size() > maxFailedIds)
        m_isReusable = false;
    // If the target answered before the whole body was written, it would read the rest of the body as the next request.
    if (m_isWriting || m_buffer.size() > 0 || result.end != exchange_end::Answered)
        m_isReusable = false;
    m_lastUsedAt = bootClockNow();
    if (!m_isReusable)
        closeNow(m_socket);
    co_return result;
}

auto target_http_connection::readAnswer(const outbound_request& request, exchange_result& result) -> task<bool>
{
    for (auto interim = 0; interim <= maxInterimAnswers; ++interim) {
        auto parser = http::response_parser<http::string_body> {};
        parser.body_limit(maxAnswerBytes);
        parser.skip(request.isHead);
        result.memory = buffer_budget::reservation(m_budget);
        auto error = co_await readHttpMessage(m_socket, m_buffer, parser, result.memory);
        if (error || (parser.need_eof() && m_isResetDuringWrite))
            co_return false;
        auto status = parser.get().result_int();
        if (isInterimStatus(status))
            continue;
        m_hasInvalidStatus = !isFinalStatus(status);
        if (m_hasInvalidStatus)
            co_return false;
        auto keepAlive = parser.keep_alive() && !parser.need_eof();
        result.answer = parser.release();
        recordKeepAlive(result.answer, keepAlive);
        co_return true;
    }
    co_return false;
}

auto target_http_connection::failedEnd() const -> exchange_end
{
    if (m_isAbandoned)
        return exchange_end::Abandoned;
    if (m_hasTimedOut)
        return exchange_end::TimedOut;
    return m_hasInvalidStatus ? exchange_end::InvalidStatus : exchange_end::Lost;
}

auto target_http_connection::recordKeepAlive(const http::response<http::string_body>& answer, bool keepAlive) -> void
{
    m_isReusable = keepAlive;
    m_idleUntil = never;
    if (auto timeout = keepAliveSeconds(answer[http::field::keep_alive]))
        m_idleUntil = bootClockNow() + seconds(*timeout);
}

} // namespace gypsumhub
