#include "gypsumhub/config/revision.h"

#include <cassert>
#include <openssl/evp.h>

namespace gypsumhub {

auto toHex(const content_hash& hash) -> std::string
{
    constexpr auto digits = "0123456789abcdef";
    auto text = std::string {};
    text.reserve(hash.bytes.size() * 2);
    for (auto byte : hash.bytes) {
        auto value = std::to_integer<unsigned>(byte);
        text += digits[value >> 4];
        text += digits[value & 15];
    }
    return text;
}

namespace {

    auto digitValue(char c) -> int
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    }

} // namespace

auto parseHash(std::string_view text) -> std::optional<content_hash>
{
    auto hash = content_hash {};
    if (text.size() != hash.bytes.size() * 2)
        return std::nullopt;
    for (auto index = size_t { 0 }; index < hash.bytes.size(); ++index) {
        auto high = digitValue(text[2 * index]);
        auto low = digitValue(text[2 * index + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        hash.bytes[index] = static_cast<std::byte>(high * 16 + low);
    }
    return hash;
}

auto hashContent(std::string_view bytes) -> content_hash
{
    auto hash = content_hash {};
    [[maybe_unused]] auto isDone = EVP_Digest(bytes.data(), bytes.size(), reinterpret_cast<unsigned char*>(hash.bytes.data()), nullptr, EVP_sha256(), nullptr);
    assert(isDone == 1);
    return hash;
}

} // namespace gypsumhub
