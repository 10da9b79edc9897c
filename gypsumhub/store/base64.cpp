#include "gypsumhub/store/base64.h"

#include <openssl/evp.h>

namespace gypsumhub {

auto toBase64(std::string_view bytes) -> std::string
{
    auto text = std::string((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(size));
    return text;
}

auto fromBase64(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    auto bytes = std::string(text.size() / 4 * 3, '\0');
    auto size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // The library counts the padding characters as decoded bytes.
    auto padding = text.ends_with("==") ? 2U : text.ends_with('=') ? 1U
                                                                   : 0U;
    bytes.resize(static_cast<size_t>(size) - padding);
    return bytes;
}

} // namespace gypsumhub
