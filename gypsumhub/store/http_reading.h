#pragma once

#include "gypsumhub/core/http_feed.h"
#include "gypsumhub/decision/selection/buffer_budget.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>

namespace gypsumhub {

/// Least and greatest number of bytes read at a time.
constexpr auto minReadBytes = size_t { 4 * 1024 };
constexpr auto maxReadBytes = size_t { 64 * 1024 };

/// The memory that a body occupies, including the copy when it grows by the given bytes.
template <typename Body>
auto memoryOfBody(const Body& body, size_t growth) -> size_t
{
    if constexpr (requires { body.capacity(); }) {
        auto isCopied = body.size() + growth > body.capacity();
        return body.size() + growth + (isCopied ? body.size() : 0);
    } else
        return 0;
}

/// Reads the next bytes of a message behind those in `buffer`. Returns `end_of_stream` when the connection ended before the message began.
template <typename Stream, bool isRequest>
auto receiveHttpBytes(Stream& stream, beast::flat_buffer& buffer, http::basic_parser<isRequest>& parser, size_t readBytes) -> task<error_code>
{
    auto [error, read] = co_await stream.async_read_some(buffer.prepare(readBytes), useTask);
    buffer.commit(read);
    if (error != asio::error::eof)
        co_return error;
    // The end of the connection also ends a body without a length.
    auto end = error_code(http::error::end_of_stream);
    if (parser.got_some())
        parser.put_eof(end);
    co_return end;
}

/// Reads the head of a message. Bytes that follow it stay in `buffer`. `feed` has to be the same for all calls of a message.
template <typename Stream, bool isRequest>
auto readHttpHead(Stream& stream, beast::flat_buffer& buffer, http::basic_parser<isRequest>& parser, http_feed& feed) -> task<error_code>
{
    auto error = error_code {};
    parser.eager(false);
    for (;;) {
        if (buffer.size() > 0)
            buffer.consume(feed.put(parser, buffer.cdata(), error));
        if (parser.is_header_done())
            co_return error_code {};
        if (error && error != http::error::need_more)
            co_return error;
        error = co_await receiveHttpBytes(stream, buffer, parser, minReadBytes);
        if (error)
            co_return error;
    }
}

/// Reads the body of a message until it is complete, or until the parser needs another buffer for it (`need_buffer`). `feed` has to be
/// the same for all calls of a message.
template <typename Stream, bool isRequest, typename Body>
auto readHttpBody(Stream& stream, beast::flat_buffer& buffer, http::parser<isRequest, Body>& parser, http_feed& feed) -> task<error_code>
{
    auto error = error_code {};
    parser.eager(true);
    for (;;) {
        if (buffer.size() > 0)
            buffer.consume(feed.put(parser, buffer.cdata(), error));
        if (parser.is_done())
            co_return error_code {};
        if (error && error != http::error::need_more)
            co_return error;
        error = co_await receiveHttpBytes(stream, buffer, parser, maxReadBytes);
        if (error)
            co_return error;
    }
}

/// Reads one complete HTTP message, for which all bytes that are held are reserved. Fails with `no_buffer_space` when the budget does
/// not allow more bytes, and with `end_of_stream` when the connection ended before the message began. Bytes that follow the message
/// stay in `buffer`.
template <typename Stream, bool isRequest, typename Body>
auto readHttpMessage(Stream& stream, beast::flat_buffer& buffer, http::parser<isRequest, Body>& parser, buffer_budget::reservation& reservation) -> task<error_code>
{
    auto feed = http_feed {};
    auto error = error_code {};
    parser.eager(true);
    for (;;) {
        if (buffer.size() > 0)
            buffer.consume(feed.put(parser, buffer.cdata(), error));
        if (parser.is_done() || (error && error != http::error::need_more))
            break;
        auto bodyBytes = memoryOfBody(parser.get().body(), 0);
        auto readBytes = std::clamp(bodyBytes, minReadBytes, maxReadBytes);
        if (!reservation.resize(memoryOfBody(parser.get().body(), readBytes) + buffer.size() + readBytes))
            co_return asio::error::no_buffer_space;
        error = co_await receiveHttpBytes(stream, buffer, parser, readBytes);
        if (error)
            co_return error;
    }
    if (parser.is_done() && !reservation.resize(memoryOfBody(parser.get().body(), 0) + buffer.size()))
        co_return asio::error::no_buffer_space;
    // Connections are kept for long, most of them without unread bytes.
    if (buffer.size() == 0 && buffer.capacity() > minReadBytes)
        buffer.shrink_to_fit();
    co_return parser.is_done() ? error_code {} : error;
}

} // namespace gypsumhub
