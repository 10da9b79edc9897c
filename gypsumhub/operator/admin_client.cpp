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

    struct fetched {
        boost::system::error_code error;
        http::response<http::string_body> response;
    };

    auto exchange(const endpoint& node, std::string_view path, fetched& result) -> asio::awaitable<void>
    {
        auto executor = co_await asio::this_coro::executor;
        auto stream = beast::tcp_stream(executor);
        stream.expires_after(exchangeTimeout);
        auto address = asio::ip::make_address(node.address, result.error);
        if (result.error)
            co_return;
        auto where = asio::ip::tcp::endpoint(address, node.port);
        co_await stream.async_connect(where, asio::redirect_error(asio::use_awaitable, result.error));
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
    auto result = fetched {};
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
