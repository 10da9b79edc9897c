#include "gypsumhub/main/health_check_runner.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/http_status.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace gypsumhub {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr auto maxHealthAnswerBytes = 64 * 1024;
    constexpr auto firstErrorStatus = 500U;

    auto classify(const http::response<http::string_body>& response) -> attempt_result
    {
        if (!isFinalStatus(response.result_int()))
            return attempt_result::CutAnswer;
        if (response["Gypsumhub-Declined"] == "draining")
            return attempt_result::Draining;
        if (response["Gypsumhub-Declined"] == "shed")
            return attempt_result::Shed;
        return response.result_int() >= firstErrorStatus ? attempt_result::ErrorAnswer : attempt_result::Success;
    }

    auto classify(const boost::system::error_code& error, attempt_result otherwise) -> attempt_result
    {
        return error == beast::error::timeout ? attempt_result::Silent : otherwise;
    }

    auto exchange(beast::tcp_stream& stream, const endpoint& address) -> asio::awaitable<attempt_result>
    {
        auto error = boost::system::error_code {};
        auto remote = asio::ip::tcp::endpoint(asio::ip::make_address(address.address, error), address.port);
        co_await stream.async_connect(remote, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return classify(error, attempt_result::ConnectFailed);
        auto request = http::request<http::empty_body>(http::verb::get, "/health", 11);
        request.set(http::field::host, address.address);
        request.set(http::field::connection, "close");
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return classify(error, attempt_result::ConnectionLost);
        auto buffer = beast::flat_buffer(maxHealthAnswerBytes);
        auto response = http::response<http::string_body> {};
        co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::partial_message)
            co_return attempt_result::CutAnswer;
        if (error)
            co_return classify(error, attempt_result::ConnectionLost);
        co_return classify(response);
    }

    auto runHealthCheck(asio::io_context& context, start_health_check_command command, std::function<void(const attempt_report&)> report)
        -> asio::awaitable<void>
    {
        auto result = attempt_report { command.service, command.target };
        result.isHealthCheck = true;
        result.startedAt = wallClockNow();
        auto stream = beast::tcp_stream(context);
        stream.expires_after(std::chrono::nanoseconds((command.deadline - result.startedAt).ns));
        result.result = co_await exchange(stream, command.address);
        result.endedAt = wallClockNow();
        report(result);
    }

} // namespace

health_check_runner::health_check_runner(asio::io_context& context, std::function<void(const attempt_report&)> report)
    : m_context(context)
    , m_report(std::move(report))
{
}

auto health_check_runner::start(const start_health_check_command& command) -> void
{
    asio::co_spawn(m_context, runHealthCheck(m_context, command, m_report), asio::detached);
}

} // namespace gypsumhub
