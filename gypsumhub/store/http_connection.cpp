#include "gypsumhub/store/http_connection.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/http_status.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <utility>

namespace gypsumhub {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

    constexpr auto maxAnswerBytes = uint64_t { 8 * 1024 * 1024 };
    constexpr auto idleReuseLimit = seconds(2);
    /// Timeout for connecting; leaves time to try another endpoint.
    constexpr auto connectLimit = seconds(1);

    /// Removes complete lines from the front of `text` and passes them to `onLine`; returns false once `onLine` returns false.
    auto consumeLines(std::string& text, const std::function<bool(std::string_view)>& onLine) -> bool
    {
        for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n')) {
            auto line = text.substr(0, end);
            text.erase(0, end + 1);
            if (!onLine(line))
                return false;
        }
        return true;
    }

} // namespace

http_connection::http_connection(endpoint address)
    : m_address(std::move(address))
    , m_stream(m_context)
{
}

template <typename Start>
auto http_connection::run(time_point deadline, Start start) -> beast::error_code
{
    auto remaining = deadline - wallClockNow();
    if (remaining.ns <= 0)
        return beast::error::timeout;
    m_stream.expires_after(std::chrono::nanoseconds(remaining.ns));
    auto outcome = beast::error_code {};
    start([&outcome](beast::error_code error, auto&&...) { outcome = error; });
    m_context.restart();
    m_context.run();
    return outcome;
}

auto http_connection::connect(time_point deadline) -> beast::error_code
{
    close();
    auto error = beast::error_code {};
    auto address = boost::asio::ip::make_address(m_address.address, error);
    if (error)
        return error;
    auto connectDeadline = std::min(deadline, wallClockNow() + connectLimit);
    error = run(connectDeadline, [&](auto handler) { m_stream.async_connect(tcp::endpoint(address, m_address.port), handler); });
    m_isOpen = !error;
    if (m_isOpen)
        m_stream.socket().set_option(tcp::no_delay(true));
    return error;
}

auto http_connection::send(const http_request& request, time_point deadline) -> std::optional<http_reply>
{
    if (!m_isOpen || wallClockNow() >= m_reuseUntil) {
        auto error = connect(deadline);
        if (error)
            return http_reply { http_progress::NotSent };
    }
    auto message = http::request<http::string_body>(request.method, request.path, 11);
    message.set(http::field::host, formatEndpoint(m_address));
    message.set(http::field::content_type, "application/json");
    message.body() = request.body;
    message.prepare_payload();
    auto error = run(deadline, [&](auto handler) { http::async_write(m_stream, message, handler); });
    if (error)
        return failed(error);
    return std::nullopt;
}

auto http_connection::exchange(const http_request& request, time_point deadline) -> http_reply
{
    if (auto early = send(request, deadline))
        return std::move(*early);
    auto parser = response_parser();
    parser.body_limit(maxAnswerBytes);
    auto error = run(deadline, [&](auto handler) { http::async_read(m_stream, m_buffer, parser, handler); });
    if (error || !isFinalStatus(parser.get().result_int()))
        return failed(error);
    if (parser.keep_alive())
        m_reuseUntil = wallClockNow() + idleReuseLimit;
    else
        close();
    return { http_progress::Answered, parser.get().result_int(), std::move(parser.get().body()) };
}

auto http_connection::stream(const http_request& request, time_point deadline, const std::function<bool(std::string_view)>& onLine) -> http_reply
{
    if (auto early = send(request, deadline))
        return std::move(*early);
    auto parser = response_parser();
    parser.body_limit(maxAnswerBytes);
    auto error = run(deadline, [&](auto handler) { http::async_read_header(m_stream, m_buffer, parser, handler); });
    if (error || !isFinalStatus(parser.get().result_int()))
        return failed(error);
    auto& body = parser.get().body();
    auto shouldContinue = true;
    while (!error && shouldContinue && !parser.is_done()) {
        error = run(deadline, [&](auto handler) { http::async_read_some(m_stream, m_buffer, parser, handler); });
        shouldContinue = consumeLines(body, onLine);
    }
    if (error && shouldContinue)
        return failed(error);
    // The rest of the stream is not read.
    close();
    return { http_progress::Answered, parser.get().result_int(), std::move(body) };
}

auto http_connection::failed(beast::error_code error) -> http_reply
{
    close();
    return { error == beast::error::timeout ? http_progress::TimedOut : http_progress::Sent };
}

auto http_connection::close() -> void
{
    m_stream.close();
    m_buffer.clear();
    m_isOpen = false;
    m_reuseUntil = {};
}

} // namespace gypsumhub
