#include "gypsumhub/gateway/http_responder.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"
#include "gypsumhub/store/http_reading.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace gypsumhub {

namespace {

    constexpr auto listenBacklog = 1024;
    // A connection without a request for this long is closed.
    constexpr auto idleLimit = seconds(10);
    // Pause after a failed accept, for example when no file descriptors are left.
    constexpr auto acceptPause = milliseconds(20);

} // namespace

auto bindListener(tcp_acceptor& acceptor, const endpoint& address) -> error_code
{
    auto error = error_code {};
    auto number = asio::ip::make_address(address.address, error);
    auto parsed = tcp::endpoint(number, address.port);
    if (!error)
        acceptor.open(parsed.protocol(), error);
    if (!error)
        acceptor.set_option(tcp_acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(parsed, error);
    auto ignored = error_code {};
    if (error)
        acceptor.close(ignored);
    return error;
}

auto startListening(tcp_acceptor& acceptor) -> error_code
{
    auto error = error_code {};
    acceptor.listen(listenBacklog, error);
    return error;
}

http_responder::http_responder(asio::io_context& context, buffer_budget& budget, answer_function answer)
    : m_context(context)
    , m_budget(budget)
    , m_answer(std::move(answer))
    , m_acceptor(context.get_executor())
{
}

auto http_responder::bind(const endpoint& address) -> error_code
{
    return bindListener(m_acceptor, address);
}

auto http_responder::listen() -> error_code
{
    auto error = startListening(m_acceptor);
    if (!error)
        asio::co_spawn(m_context.get_executor(), accept(), asio::detached);
    return error;
}

auto http_responder::accept() -> task<>
{
    auto timer = steady_timer(m_context.get_executor());
    for (;;) {
        auto socket = tcp_socket(m_context.get_executor());
        auto [error] = co_await m_acceptor.async_accept(socket, useTask);
        if (error)
            co_await sleepUntil(timer, bootClockNow() + acceptPause);
        else
            asio::co_spawn(m_context.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

auto http_responder::serve(tcp_socket socket) -> task<>
{
    auto buffer = beast::flat_buffer {};
    auto timer = deadline_timer(m_context.get_executor());
    setNoDelay(socket);
    for (auto isOpen = true; isOpen;) {
        timer.arm(bootClockNow() + idleLimit, [&socket] { closeNow(socket); });
        auto reservation = buffer_budget::reservation(m_budget);
        auto parser = http::request_parser<http::empty_body> {};
        auto readError = co_await readHttpMessage(socket, buffer, parser, reservation);
        if (readError)
            co_return;
        auto& request = parser.get();
        auto answer = request.method() == http::verb::get ? m_answer(request.target()) : http_answer { 405 };
        if (!reservation.resize(answer.body.size()))
            answer = http_answer { 503 };
        auto response = http::response<http::string_body>(http::int_to_status(answer.status), 11, std::move(answer.body));
        response.set(http::field::content_type, answer.contentType);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        auto [writeError, written] = co_await http::async_write(socket, response, useTask);
        isOpen = !writeError && request.keep_alive();
    }
}

} // namespace gypsumhub
