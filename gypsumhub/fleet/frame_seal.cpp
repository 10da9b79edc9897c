#include "gypsumhub/fleet/frame_seal.h"

#include <cassert>
#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <optional>
#include <string_view>

namespace gypsumhub {

namespace {

    constexpr auto minKeyDigits = size_t { 32 };

    auto parseHex(std::string_view digits) -> std::optional<std::vector<std::byte>>
    {
        if (digits.size() < minKeyDigits || digits.size() % 2 != 0)
            return std::nullopt;
        auto bytes = std::vector<std::byte> {};
        for (auto at = size_t { 0 }; at < digits.size(); at += 2) {
            auto value = uint8_t { 0 };
            auto* first = digits.data() + at;
            auto [end, error] = std::from_chars(first, first + 2, value, 16);
            if (error != std::errc {} || end != first + 2)
                return std::nullopt;
            bytes.push_back(std::byte { value });
        }
        return bytes;
    }

    auto computeTag(std::span<const std::byte> key, std::span<const std::byte> body) -> frame_tag
    {
        auto tag = frame_tag {};
        auto length = 0U;
        [[maybe_unused]] auto* written = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(body.data()), body.size(), reinterpret_cast<unsigned char*>(tag.data()), &length);
        assert(written && length == tag.size());
        return tag;
    }

} // namespace

auto frame_seal::create(std::span<const std::string> hexKeys) -> leaf::result<frame_seal>
{
    auto seal = frame_seal {};
    for (auto& text : hexKeys) {
        auto key = parseHex(text);
        // The message is logged, so it must not contain the key.
        if (!key)
            return failWith({ result_code::SettingsInvalid, "a peer key is not a hexadecimal number of at least 32 digits", {}, 0,
                "configure an even number of at least 32 digits 0-9 and a-f" });
        seal.m_keys.push_back(std::move(*key));
    }
    if (seal.m_keys.empty())
        return failWith({ result_code::SettingsInvalid, "there is no peer key", {}, 0, "configure at least one peer key" });
    return seal;
}

auto frame_seal::sign(std::span<const std::byte> body) const -> frame_tag
{
    return computeTag(m_keys.front(), body);
}

auto frame_seal::verify(std::span<const std::byte> body, std::span<const std::byte> tag) const -> bool
{
    auto matched = false;
    for (auto& key : m_keys) {
        auto expected = computeTag(key, body);
        // Constant-time comparison, so that timing reveals nothing about the tag.
        if (tag.size() == expected.size() && CRYPTO_memcmp(tag.data(), expected.data(), expected.size()) == 0)
            matched = true;
    }
    return matched;
}

} // namespace gypsumhub
