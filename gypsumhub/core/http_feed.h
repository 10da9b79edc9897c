#pragma once

#include "gypsumhub/core/asio_types.h"

#include <cstddef>
#include <stdexcept>
#include <string_view>

namespace gypsumhub {

/// Passes the received bytes of one message to an HTTP parser, and bounds the bytes that the parser leaves unread.
class http_feed {
public:
    /// Longest header of a chunk, or trailer, in bytes. The parser reads each of them only when it is complete.
    static constexpr auto maxUnreadBytes = size_t { 16 * 1024 };

    /// Passes bytes to the parser and returns how many it has read; the rest must be passed again with the bytes that follow. Sets
    /// `http::error::need_more` when the message is not complete, `http::error::buffer_overflow` when a part of it is too long, and
    /// `http::error::header_limit` when one field is. A folded line in the head of an answer is refused as `http::error::bad_field`, as
    /// RFC 9112, section 5.2 allows. A parser that is not eager reads no more than the head.
    template <bool isRequest>
    auto put(http::basic_parser<isRequest>& parser, asio::const_buffer bytes, error_code& error) -> size_t
    {
        error = {};
        auto read = size_t { 0 };
        if (bytes.size() < m_minBytes) {
            error = http::error::need_more;
            return read;
        }
        if (!isRequest && !parser.is_header_done() && hasFoldedLine({ static_cast<const char*>(bytes.data()), bytes.size() })) {
            error = http::error::bad_field;
            return read;
        }
        auto shouldContinue = [&] { return !parser.is_done() && (parser.eager() || !parser.is_header_done()); };
        while (read < bytes.size() && shouldContinue() && !error)
            read += putPart(parser, bytes + read, error);
        m_minBytes = error == http::error::need_more && parser.is_header_done() && parser.chunked() ? minLastChunkBytes : 0;
        if (!error && !parser.is_done())
            error = http::error::need_more;
        if (error == http::error::need_more && parser.is_header_done() && bytes.size() - read > maxUnreadBytes)
            error = http::error::buffer_overflow;
        return read;
    }

private:
    // "0", CR LF, CR LF. Nothing shorter can follow between two chunks.
    static constexpr auto minLastChunkBytes = size_t { 5 };

    /// Whether a line of the head begins with a space or a tab. The parser would append it to the value before it. The unread bytes of a
    /// head begin with a line.
    static auto hasFoldedLine(std::string_view unread) -> bool
    {
        constexpr auto lineEnd = std::string_view { "\r\n" };
        while (!unread.empty() && !unread.starts_with(lineEnd)) {
            if (unread.front() == ' ' || unread.front() == '\t')
                return true;
            auto end = unread.find(lineEnd);
            unread.remove_prefix(end == std::string_view::npos ? unread.size() : end + lineEnd.size());
        }
        return false;
    }

    template <bool isRequest>
    static auto putPart(http::basic_parser<isRequest>& parser, asio::const_buffer bytes, error_code& error) -> size_t
    {
        try {
            return parser.put(bytes, error);
        } catch (const std::length_error&) {
            // The parser throws on a field of more than 65,533 bytes.
            error = http::error::header_limit;
            return 0;
        }
    }

    /// Bytes without which the parser is not called: having read the header of the last chunk, it ends the process when fewer bytes
    /// than those of the whole last chunk follow.
    size_t m_minBytes { 0 };
};

} // namespace gypsumhub
