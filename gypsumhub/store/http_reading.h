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
        auto [readError, read] = co_await stream.async_read_some(buffer.prepare(readBytes), useTask);
        buffer.commit(read);
        if (!readError)
            continue;
        // The end of the connection also ends a body without a length.
        error = readError == asio::error::eof ? error_code(http::error::end_of_stream) : readError;
        if (readError == asio::error::eof && parser.got_some())
            parser.put_eof(error);
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
