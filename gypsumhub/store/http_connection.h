#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/time_point.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// How far an HTTP exchange got before it ended.
enum class http_progress : uint8_t {
    /// No connection was established; nothing was sent.
    NotSent,
    /// The request may have been received; the connection failed before the answer was complete.
    Sent,
    /// The deadline passed; the request may have been received.
    TimedOut,
    /// The complete answer was received.
    Answered,
};

/// Result of an HTTP exchange. `status` and `body` are set when `progress` is `Answered`.
struct http_reply {
    http_progress progress { http_progress::NotSent };
    unsigned status { 0 };
    std::string body;
};

/// An HTTP request. `path` and `body` must outlive the exchange.
struct http_request {
    boost::beast::http::verb method { boost::beast::http::verb::get };
    std::string_view path;
    std::string_view body;
};

/// A blocking HTTP/1.1 client connection with absolute deadlines on the wall clock, kept open between exchanges. Not thread-safe.
class http_connection {
public:
    explicit http_connection(endpoint);

    /// Sends a request and receives its complete answer, until `deadline` at the latest.
    auto exchange(const http_request&, time_point deadline) -> http_reply;

    /// Sends a request whose answer is a stream of lines and passes each line to `onLine` until that returns false, the stream ends or the
    /// deadline passes. The connection is closed afterwards.
    auto stream(const http_request&, time_point deadline, const std::function<bool(std::string_view)>& onLine) -> http_reply;

    auto address() const -> const endpoint& { return m_address; }

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// Runs one asynchronous operation to its completion. `start` starts it with the given completion handler.
    template <typename Start>
    auto run(time_point deadline, Start start) -> boost::beast::error_code;
    auto connect(time_point deadline) -> boost::beast::error_code;
    auto send(const http_request&, time_point deadline) -> std::optional<http_reply>;
    auto failed(boost::beast::error_code) -> http_reply;
    auto close() -> void;

    endpoint m_address;
    boost::asio::io_context m_context { 1 };
    boost::beast::tcp_stream m_stream;
    /// Bounds what the store can send in a chunk's header or in a trailer.
    static constexpr auto maxUnreadBytes = size_t { 64 * 1024 };
    boost::beast::flat_buffer m_buffer { maxUnreadBytes };
    bool m_isOpen { false };
    /// An idle connection is not reused after this instant, since the server may be about to close it.
    time_point m_reuseUntil;
};

} // namespace gypsumhub
