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

/// Parses the output of `toHex`; nothing when the text is invalid.
auto parseHash(std::string_view) -> std::optional<content_hash>;

/// Computes the SHA-256 of bytes.
auto hashContent(std::string_view bytes) -> content_hash;

/// Identifies an accepted revision of the configuration. `hash` covers the parent's hash, so equal ids imply equal histories.
struct revision_id {
    /// 0 means "no configuration yet".
    uint64_t number { 0 };
    content_hash hash;

    auto operator<=>(const revision_id&) const = default;
};

} // namespace gypsumhub
