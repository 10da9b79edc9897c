#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/result_code.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace gypsumhub {

/// A caller's request as received, whole and checked.
using inbound_message = http::request<http::string_body>;

/// Turns the bytes of one caller's connection into one checked request. Pure: no socket and no clock. Stricter than the
/// parser that it uses, so that no two programs can read the same bytes as different requests.
class request_reader {
public:
    struct limits {
        uint32_t headerBytes { 16 * 1024 };
        uint32_t bodyBytes { 8 * 1024 * 1024 };
    };

    enum class progress : uint8_t {
        NeedMore,
        /// The header is complete and the caller waits for "100 Continue" before it sends the body.
        ExpectsContinue,
        Done,
        /// The bytes are refused with `fault()`; the connection must be closed.
        Failed,
    };

    explicit request_reader(limits);

    /// Takes bytes from the front of `bytes` and returns how many it took. Bytes that were not taken must be given again.
    auto feed(std::span<const char> bytes) -> size_t;

    auto state() const -> progress { return m_state; }
    /// Why the bytes are refused; `Ok` unless the state is `Failed`.
    auto fault() const -> result_code { return m_fault; }
    /// Whether the header is complete.
    auto hasHeader() const -> bool { return m_hasHeader; }
    /// Bytes of the body received so far.
    auto bodyBytes() const -> size_t { return m_parser.get().body().size(); }
    /// Goes on after "100 Continue" was sent.
    auto resume() -> void { m_state = progress::NeedMore; }
    /// The request; valid once the state is `Done`.
    auto release() -> inbound_message { return m_parser.release(); }

private:
    auto feedHeader(std::span<const char> bytes) -> size_t;
    auto feedBody(std::span<const char> bytes) -> size_t;
    auto fail(result_code) -> void;

    limits m_limits;
    http::request_parser<http::string_body> m_parser;
    progress m_state { progress::NeedMore };
    result_code m_fault { result_code::Ok };
    bool m_hasHeader { false };
    // Fields beyond this number came as trailers.
    size_t m_headerFields { 0 };
};

} // namespace gypsumhub
