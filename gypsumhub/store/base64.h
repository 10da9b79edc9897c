#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Standard base64 text with padding.
auto toBase64(std::string_view bytes) -> std::string;

/// The bytes of base64 text, or nothing when it is not that.
auto fromBase64(std::string_view text) -> std::optional<std::string>;

} // namespace gypsumhub
