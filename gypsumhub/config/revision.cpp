#include "gypsumhub/config/revision.h"

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

} // namespace gypsumhub
