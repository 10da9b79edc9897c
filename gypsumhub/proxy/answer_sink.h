#pragma once

#include "gypsumhub/core/asio_types.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace gypsumhub {

/// Receives an answer that is streamed to the caller because it is too large to buffer.
class answer_sink {
public:
    virtual ~answer_sink() = default;

    /// Sends the head. `length` is absent when the target uses chunked encoding. False when the caller has disconnected.
    virtual auto begin(http::response_header<> head, std::optional<uint64_t> length) -> task<bool> = 0;
    /// Sends one part of the body. False when the caller has disconnected or reads too slowly.
    virtual auto write(std::string_view part) -> task<bool> = 0;
    /// Completes the answer. An answer that is not completed must be reported to the caller as cut.
    virtual auto end() -> task<bool> = 0;
};

} // namespace gypsumhub
