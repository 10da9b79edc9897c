#pragma once

#include "gypsumhub/config/revision_header.h"

#include <string>

namespace gypsumhub {

/// Key whose value is the record of the current revision. New revisions become current by a compare-and-swap of this key.
constexpr auto headKey = "gypsumhub/head";

/// Key of the record of an earlier revision. Written before the head is replaced by the next revision.
inline auto recordKey(uint64_t number) -> std::string { return "gypsumhub/revision/" + std::to_string(number); }

/// Key of a manifest.
inline auto manifestKey(const content_hash& hash) -> std::string { return "gypsumhub/manifest/" + toHex(hash); }

/// Key of a chunk.
inline auto chunkKey(const chunk_reference& chunk) -> std::string { return "gypsumhub/chunk/" + toHex(chunk.hash) + '.' + chunk.tag; }

} // namespace gypsumhub
