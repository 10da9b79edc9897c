#pragma once

#include "gypsumhub/core/time_point.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumhub {

/// A parsed request target: `/path?name=value&name=value`.
struct fake_http_target {
    std::string path;
    std::map<std::string, std::string, std::less<>> query;

    /// The value of a query parameter as a number, or `fallback` when it is absent or not a number.
    auto number(std::string_view name, int64_t fallback) const -> int64_t;
    /// The value of a query parameter, or an empty string when it is absent.
    auto text(std::string_view name) const -> std::string;
};

auto parseHttpTarget(std::string_view) -> fake_http_target;

/// The response of a fake server to one request.
struct fake_http_answer {
    unsigned status { 200 };
    std::string body {};
    /// Delay before the answer is sent.
    duration delay {};
    /// Whether the connection is closed without an answer.
    bool closes { false };
    /// When set, the answer is an endless stream of lines. It is polled every few milliseconds and returns the next line, if any.
    std::function<std::optional<std::string>()> nextLine {};
    /// Further header fields.
    std::vector<std::pair<std::string, std::string>> fields {};
};

using fake_http_handler = std::function<fake_http_answer(boost::beast::http::verb, const fake_http_target&, const std::string& body)>;

/// Serves HTTP/1.1 on a loopback address with one handler, on the threads that run the context.
class fake_http_server {
public:
    /// Port 0 selects a free port.
    fake_http_server(boost::asio::io_context&, const std::string& address, uint16_t port, fake_http_handler);

    auto port() const -> uint16_t;

private:
    auto accept() -> void;

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    fake_http_handler m_handler;
};

} // namespace gypsumhub
