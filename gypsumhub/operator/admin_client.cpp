#include "gypsumhub/operator/admin_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>

namespace gypsumhub {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr auto exchangeTimeout = std::chrono::seconds(5);

    /// Outcome of one HTTP exchange; `response` is valid only without an error.
    struct fetch_result {
        boost::system::error_code error;
        http::response<http::string_body> response;
    };

    // Connects, sends one GET request and reads the response. Stores errors in `result`.
    auto exchange(const endpoint& node, std::string_view path, fetch_result& result) -> asio::awaitable<void>
    {
        auto executor = co_await asio::this_coro::executor;
        auto stream = beast::tcp_stream(executor);
        stream.expires_after(exchangeTimeout);
        auto address = asio::ip::make_address(node.address, result.error);
        if (result.error)
            co_return;
        auto peerEndpoint = asio::ip::tcp::endpoint(address, node.port);
        co_await stream.async_connect(peerEndpoint, asio::redirect_error(asio::use_awaitable, result.error));
        if (result.error)
            co_return;
        auto request = http::request<http::empty_body>(http::verb::get, beast::string_view(path.data(), path.size()), 11);
        request.set(http::field::host, node.address);
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, result.error));
        if (result.error)
            co_return;
        auto buffer = beast::flat_buffer {};
        co_await http::async_read(stream, buffer, result.response, asio::redirect_error(asio::use_awaitable, result.error));
    }

} // namespace

auto fetchFromNode(const endpoint& node, std::string_view path) -> leaf::result<std::string>
{
    auto context = asio::io_context { 1 };
    auto result = fetch_result {};
    auto rethrow = [](std::exception_ptr thrown) {
        if (thrown)
            std::rethrow_exception(thrown);
    };
    asio::co_spawn(context, exchange(node, path, result), rethrow);
    context.run();
    auto name = node.address + ":" + std::to_string(node.port);
    if (result.error)
        return failWith({ result_code::PeerUnreachable, "node " + name + ": " + result.error.message() });
    if (result.response.result() == http::status::not_found)
        return failWith({ result_code::UsageError, "node " + name + ": " + result.response.body() });
    return std::move(result.response.body());
}

} // namespace gypsumhub
