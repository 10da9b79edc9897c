#include "gypsumhub/proxy/request_reader.h"

#include "gypsumhub/proxy/request_head_check.h"

#include <algorithm>
#include <string_view>

namespace gypsumhub {

namespace {

    // A body of unknown length holds memory for the bytes that have arrived up to this size, which exceeds most uploads. A larger one may
    // need up to the limit: of several that wait for memory while they grow, none could be completed.
    constexpr auto maxGrowingBytes = size_t { 4 * 1024 * 1024 };
    // A smaller body is not copied to return its unused memory.
    constexpr auto minShrunkBytes = size_t { 64 * 1024 };

    auto codeOf(const error_code& error) -> result_code
    {
        if (error == http::error::header_limit || error == http::error::body_limit || error == http::error::buffer_overflow)
            return result_code::RequestTooLarge;
        if (error == http::error::bad_content_length || error == http::error::bad_transfer_encoding
            || error == http::error::multiple_content_length)
            return result_code::AmbiguousFraming;
        return result_code::MalformedRequest;
    }

    auto countFields(const http::fields& fields) -> size_t
    {
        return static_cast<size_t>(std::distance(fields.begin(), fields.end()));
    }

} // namespace

request_reader::request_reader(limits limits)
    : m_limits(limits)
{
    m_parser.header_limit(m_limits.headerBytes);
    m_parser.body_limit(m_limits.bodyBytes);
}

auto request_reader::feed(std::span<const char> bytes) -> size_t
{
    auto consumed = size_t { 0 };
    if (!m_hasHeader)
        consumed = feedHeader(bytes);
    if (m_hasHeader && m_state == progress::NeedMore)
        consumed += feedBody(bytes.subspan(consumed));
    return consumed;
}

auto request_reader::feedHeader(std::span<const char> bytes) -> size_t
{
    // The head is parsed only when it is complete and its raw bytes have been checked.
    auto view = std::string_view(bytes.data(), bytes.size());
    auto end = view.find("\r\n\r\n");
    auto headSize = end == std::string_view::npos ? view.size() : end + 4;
    if (auto code = checkHeadBytes(view.substr(0, headSize)); code != result_code::Ok) {
        fail(code);
        return 0;
    }
    if (headSize > m_limits.headerBytes) {
        fail(result_code::RequestTooLarge);
        return 0;
    }
    if (end == std::string_view::npos)
        return 0;

    auto error = error_code {};
    auto consumed = m_feed.put(m_parser, asio::buffer(view.data(), headSize), error);
    if (error == http::error::need_more)
        error = {};
    // Maps the parser's errors, so that conflicting lengths are always refused as `AmbiguousFraming`.
    auto code = error ? codeOf(error) : checkHeadFields(m_parser.get());
    if (error == http::error::body_limit)
        m_hasHeader = true;
    if (code != result_code::Ok || !m_parser.is_header_done() || consumed != headSize) {
        fail(code == result_code::Ok ? result_code::MalformedRequest : code);
        return 0;
    }
    m_hasHeader = true;
    m_headBytes = headSize;
    m_headerFields = countFields(m_parser.get());
    if (m_parser.is_done())
        m_state = progress::Done;
    else if (beast::iequals(m_parser.get()[http::field::expect], "100-continue"))
        m_state = progress::ExpectsContinue;
    return consumed;
}

auto request_reader::feedBody(std::span<const char> bytes) -> size_t
{
    m_parser.eager(true);
    auto error = error_code {};
    auto consumed = m_feed.put(m_parser, asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != http::error::need_more)
        fail(codeOf(error));
    if (bodyBytes() > maxGrowingBytes)
        m_parser.get().body().reserve(m_limits.bodyBytes);
    if (error)
        return consumed;
    // The parser appends trailers to the header's fields, where they would bypass the checks of the head.
    if (countFields(m_parser.get()) != m_headerFields)
        fail(result_code::MalformedRequest);
    else
        m_state = progress::Done;
    // While a body grows, its buffer doubles at times, but only its bytes stay reserved when it is complete.
    auto& body = m_parser.get().body();
    if (m_state == progress::Done && !m_parser.content_length() && body.size() >= minShrunkBytes && body.size() <= maxGrowingBytes)
        body.shrink_to_fit();
    return consumed;
}

auto request_reader::memoryBytes() const -> size_t
{
    if (m_state == progress::Done || !m_hasHeader)
        return m_headBytes + bodyBytes();
    if (auto length = m_parser.content_length())
        return m_headBytes + *length;
    // While the body grows, it is copied at times.
    return m_headBytes + (bodyBytes() > maxGrowingBytes ? m_limits.bodyBytes : 2 * bodyBytes());
}

auto request_reader::fail(result_code code) -> void
{
    m_state = progress::Failed;
    m_fault = code;
}

} // namespace gypsumhub
