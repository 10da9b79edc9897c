#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Encodes bytes as standard base64 with padding.
auto toBase64(std::string_view bytes) -> std::string;

/// Decodes standard base64 with padding; nothing when the text is invalid.
auto fromBase64(std::string_view text) -> std::optional<std::string>;

} // namespace gypsumhub
