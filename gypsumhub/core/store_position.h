#pragma once

#include <cstdint>

namespace gypsumhub {

/// Positions in the history of the platform's store, as one number: the era in the upper 16 bits, the revision in the lower 48. When the
/// store comes back from an older copy, its era rises and its revisions go back, so only a position orders all changes. Revisions in
/// interfaces of the gateway are positions. The era is 0 where a store names none.
constexpr auto revisionBits = 48U;

constexpr auto storePosition(uint16_t era, uint64_t revision) -> uint64_t
{
    return uint64_t { era } << revisionBits | revision;
}

constexpr auto eraOf(uint64_t position) -> uint16_t
{
    return static_cast<uint16_t>(position >> revisionBits);
}

/// The revision as the store counts it within the era.
constexpr auto revisionOf(uint64_t position) -> uint64_t
{
    return position & ((uint64_t { 1 } << revisionBits) - 1);
}

} // namespace gypsumhub
