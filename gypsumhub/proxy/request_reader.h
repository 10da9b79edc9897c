#pragma once

#include "gypsumhub/core/http_feed.h"
#include "gypsumhub/core/result_code.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace gypsumhub {

/// A complete and validated request as received from a caller.
using inbound_message = http::request<http::string_body>;

/// Parses the bytes of a caller's connection into one validated request. Performs no I/O and reads no clock. Stricter than the
/// underlying parser, which prevents request smuggling: other programs must not read the same bytes as different requests.
class request_reader {
public:
    /// Maximum sizes; a larger request is refused with `RequestTooLarge`.
    struct limits {
        uint32_t headerBytes { 16 * 1024 };
        uint32_t bodyBytes { 8 * 1024 * 1024 };
    };

    /// How far the request has been read.
    enum class progress : uint8_t {
        NeedMore,
        /// The header is complete and the caller expects "100 Continue" before it sends the body.
        ExpectsContinue,
        Done,
        /// The bytes are invalid for the reason `fault()`; the connection must be closed.
        Failed,
    };

    explicit request_reader(limits);

    /// Consumes bytes from the front of `bytes` and returns their number. The rest must be passed again with the next call.
    auto feed(std::span<const char> bytes) -> size_t;

    auto state() const -> progress { return m_state; }
    /// Why the request is refused; `Ok` unless the state is `Failed`.
    auto fault() const -> result_code { return m_fault; }
    /// Whether the header is complete.
    auto hasHeader() const -> bool { return m_hasHeader; }
    /// Bytes of the body received so far.
    auto bodyBytes() const -> size_t { return m_parser.get().body().size(); }
    /// The head; valid once it is complete.
    auto head() const -> const http::request_header<>& { return m_parser.get(); }
    /// Memory that the request needs until it is complete. A large body needs all of its memory from the start, so that of several
    /// bodies at the same time at least one can be completed.
    auto memoryBytes() const -> size_t;
    /// Continues with the body after "100 Continue" was sent.
    auto resume() -> void { m_state = progress::NeedMore; }
    /// Moves out the request; valid once the state is `Done`.
    auto release() -> inbound_message { return m_parser.release(); }

private:
    auto feedHeader(std::span<const char> bytes) -> size_t;
    auto feedBody(std::span<const char> bytes) -> size_t;
    auto fail(result_code) -> void;

    limits m_limits;
    http::request_parser<http::string_body> m_parser;
    http_feed m_feed;
    progress m_state { progress::NeedMore };
    result_code m_fault { result_code::Ok };
    bool m_hasHeader { false };
    size_t m_headBytes { 0 };
    // Number of fields in the header; any further field came as a trailer.
    size_t m_headerFields { 0 };
};

} // namespace gypsumhub
