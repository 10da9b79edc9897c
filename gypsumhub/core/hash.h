#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace gypsumhub {

/// XXH3 64-bit hash of a register name; the source of `vm_key`, `service_key` and `node_key`.
auto hashName(std::string_view name) -> uint64_t;

/// XXH3 64-bit hash of bytes with a seed.
auto hashBytes(std::span<const std::byte> bytes, uint64_t seed) -> uint64_t;

/// Combines two 64-bit values into one hash; used for rendezvous hashing. The order of the values matters.
auto mixHashes(uint64_t a, uint64_t b) -> uint64_t;

} // namespace gypsumhub
