#pragma once

#include "gypsumhub/core/fault.h"

#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace gypsumhub {

/// The keyed digest of a frame's body.
using frame_tag = std::array<std::byte, 32>;

/// Signs frames between nodes by HMAC-SHA256 and verifies them. Immutable, so any thread may use it.
///
/// To rotate keys, add the new key after the old one on every node, then swap them, then remove the old one.
class frame_seal {
public:
    /// Keys in hexadecimal, at least 32 digits each; the first signs, all verify. Fails with `SettingsInvalid`.
    static auto create(std::span<const std::string> hexKeys) -> leaf::result<frame_seal>;

    /// The tag of `body` under the first key.
    auto sign(std::span<const std::byte> body) const -> frame_tag;

    /// Whether `tag` is the tag of `body` under one of the keys. Compares in constant time.
    auto verify(std::span<const std::byte> body, std::span<const std::byte> tag) const -> bool;

private:
    std::vector<std::vector<std::byte>> m_keys;
};

} // namespace gypsumhub
