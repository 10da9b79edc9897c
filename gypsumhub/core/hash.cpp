#include "gypsumhub/core/hash.h"

#include <array>
#include <xxhash.h>

namespace gypsumhub {

auto hashName(std::string_view name) -> uint64_t
{
    return XXH3_64bits(name.data(), name.size());
}

auto hashBytes(std::span<const std::byte> bytes, uint64_t seed) -> uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto mixHashes(uint64_t a, uint64_t b) -> uint64_t
{
    auto words = std::array { a, b };
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace gypsumhub
