#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// SHA-256 of a chunk or of a revision header.
struct content_hash {
    std::array<std::byte, 32> bytes {};

    auto operator<=>(const content_hash&) const = default;
};

/// Lower-case hexadecimal, 64 characters.
auto toHex(const content_hash&) -> std::string;

/// Reads what `toHex` writes; nothing when the text is anything else.
auto parseHash(std::string_view) -> std::optional<content_hash>;

/// SHA-256 of bytes.
auto hashContent(std::string_view bytes) -> content_hash;

/// Identity of an accepted configuration. `hash` covers the parent's hash, so that equal ids mean equal histories.
struct revision_id {
    /// 0 means "no configuration yet".
    uint64_t number { 0 };
    content_hash hash;

    auto operator<=>(const revision_id&) const = default;
};

} // namespace gypsumhub
