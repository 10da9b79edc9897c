#include "gypsumhub/operator/admin_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <thread>

namespace gypsumhub {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    using text_request = http::request<http::string_body>;
    using text_response = http::response<http::string_body>;

    // Limits reading the request and writing the response together.
    constexpr auto connectionTimeout = std::chrono::seconds(5);
    constexpr auto maxRequestBytes = 4096;
    constexpr auto explainPath = std::string_view("/v1/explain?of=");

    auto makeResponse(const text_request& request, http::status status, std::string_view type, std::string body) -> text_response
    {
        auto response = text_response(status, request.version());
        response.set(http::field::content_type, beast::string_view(type.data(), type.size()));
        response.keep_alive(false);
        response.body() = std::move(body);
        response.prepare_payload();
        return response;
    }

    auto explainResponse(const text_request& request, std::string_view name, admin_view& view) -> text_response
    {
        auto text = view.explain(name);
        if (text.empty())
            return makeResponse(request, http::status::not_found, "text/plain", "no service or vm has this name\n");
        return makeResponse(request, http::status::ok, "text/plain", std::move(text));
    }

    auto answer(const text_request& request, admin_view& view) -> text_response
    {
        auto target = std::string_view(request.target().data(), request.target().size());
        if (request.method() != http::verb::get)
            return makeResponse(request, http::status::method_not_allowed, "text/plain", "only GET is supported\n");
        if (target == "/metrics")
            return makeResponse(request, http::status::ok, "text/plain; version=0.0.4", view.metricsText());
        if (target == "/v1/status")
            return makeResponse(request, http::status::ok, "application/json", view.statusJson() + "\n");
        if (target == "/v1/ready" && view.isReady())
            return makeResponse(request, http::status::ok, "text/plain", "ready\n");
        if (target == "/v1/ready")
            return makeResponse(request, http::status::service_unavailable, "text/plain", "not ready\n");
        if (target.starts_with(explainPath))
            return explainResponse(request, target.substr(explainPath.size()), view);
        return makeResponse(request, http::status::not_found, "text/plain",
            "paths: /metrics /v1/status /v1/ready /v1/explain?of=SERVICE_OR_VM\n");
    }

    auto serveConnection(beast::tcp_stream stream, admin_view& view) -> asio::awaitable<void>
    {
        auto error = boost::system::error_code {};
        auto buffer = beast::flat_buffer(maxRequestBytes);
        auto request = text_request {};
        stream.expires_after(connectionTimeout);
        co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        auto response = answer(request, view);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
    }

    auto acceptLoop(tcp::acceptor& acceptor, admin_view& view) -> asio::awaitable<void>
    {
        while (true) {
            auto error = boost::system::error_code {};
            auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error)
                continue;
            auto executor = acceptor.get_executor();
            asio::co_spawn(executor, serveConnection(beast::tcp_stream(std::move(socket)), view), asio::detached);
        }
    }

} // namespace

/// Keeps Asio out of the header. `thread` runs `context`.
struct admin_server::implementation {
    implementation(const admin_server_settings& initial, admin_view& observed)
        : settings(initial)
        , view(observed)
        , acceptor(context)
    {
    }

    admin_server_settings settings;
    admin_view& view;
    asio::io_context context { 1 };
    tcp::acceptor acceptor;
    std::jthread thread;
};

admin_server::admin_server(const admin_server_settings& settings, admin_view& view)
    : m_implementation(std::make_unique<implementation>(settings, view))
{
}

admin_server::~admin_server()
{
    m_implementation->context.stop();
}

auto admin_server::start() -> leaf::result<void>
{
    auto& self = *m_implementation;
    auto error = boost::system::error_code {};
    auto address = asio::ip::make_address(self.settings.address.address, error);
    auto listenEndpoint = tcp::endpoint(address, self.settings.address.port);
    if (!error)
        self.acceptor.open(listenEndpoint.protocol(), error);
    if (!error)
        self.acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        self.acceptor.bind(listenEndpoint, error);
    if (!error)
        self.acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        auto message = "cannot listen on operator address " + self.settings.address.address + ":"
            + std::to_string(self.settings.address.port) + ": " + error.message();
        return failWith({ result_code::AddressInUse, message });
    }
    asio::co_spawn(self.context, acceptLoop(self.acceptor, self.view), asio::detached);
    self.thread = std::jthread([&self] { self.context.run(); });
    return {};
}

} // namespace gypsumhub
