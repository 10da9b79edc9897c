#pragma once

#include "gypsumhub/config/configuration_entry.h"
#include "gypsumhub/config/revision_header.h"
#include "gypsumhub/core/fault.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Largest encoded delta, in bytes, that travels with its header.
constexpr auto maxInlineDeltaBytes = size_t { 16 * 1024 };

/// Encodes a chunk; entries are in order of key. Equal entries give equal bytes.
auto encodeChunk(std::span<const configuration_entry>) -> std::string;
auto decodeChunk(std::string_view) -> leaf::result<std::vector<configuration_entry>>;

auto encodeManifest(const chunk_manifest&) -> std::string;
auto decodeManifest(std::string_view) -> leaf::result<chunk_manifest>;

/// Makes the record of a header whose `delta` hash is filled in here: from `changes` when they fit, else left zero.
auto makeRecord(revision_header, std::span<const entry_change> changes) -> revision_record;
/// Decodes a record and checks that the delta has the hash that the header names. All decoders fail with `ConfigurationInvalid`.
auto decodeRecord(std::string_view) -> leaf::result<revision_record>;

} // namespace gypsumhub
