#pragma once

#include "gypsumhub/config/configuration_entry.h"
#include "gypsumhub/config/revision_header.h"
#include "gypsumhub/core/fault.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Size limit in bytes of an encoded delta that is stored together with its header.
constexpr auto maxInlineDeltaBytes = size_t { 16 * 1024 };

/// Encodes a chunk as JSON; entries must be sorted by key. Equal entries give equal bytes. All decoders below fail with
/// `ConfigurationInvalid`.
auto encodeChunk(std::span<const configuration_entry>) -> std::string;
auto decodeChunk(std::string_view) -> leaf::result<std::vector<configuration_entry>>;

auto encodeManifest(const chunk_manifest&) -> std::string;
auto decodeManifest(std::string_view) -> leaf::result<chunk_manifest>;

/// Creates the record of a header and sets the header's `delta` hash: the hash of `changes` when their encoding is at most
/// `maxInlineDeltaBytes`, else zeros.
auto makeRecord(revision_header, std::span<const entry_change> changes) -> revision_record;
/// Decodes a record and verifies the delta against the hash in the header.
auto decodeRecord(std::string_view) -> leaf::result<revision_record>;

} // namespace gypsumhub
