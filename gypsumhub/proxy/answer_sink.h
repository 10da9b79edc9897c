#pragma once

#include "gypsumhub/core/asio_types.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace gypsumhub {

/// Takes an answer that is passed on in parts because it exceeds the buffered size.
class answer_sink {
public:
    virtual ~answer_sink() = default;

    /// Sends the head. `length` is absent when the target sends in chunks. False when the caller is gone.
    virtual auto begin(http::response_header<> head, std::optional<uint64_t> length) -> task<bool> = 0;
    /// Sends one part of the body. False when the caller is gone or too slow.
    virtual auto write(std::string_view part) -> task<bool> = 0;
    /// Ends the answer. Unless this is called, the caller sees the answer fail.
    virtual auto end() -> task<bool> = 0;
};

} // namespace gypsumhub
