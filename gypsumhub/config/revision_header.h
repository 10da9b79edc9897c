#pragma once

#include "gypsumhub/config/entry_merge.h"
#include "gypsumhub/config/revision.h"
#include "gypsumhub/core/time_point.h"

#include <optional>
#include <string>
#include <vector>

namespace gypsumhub {

/// Metadata of one revision. The revision's hash is computed over the encoded header and thereby covers the parent's hash, the content and
/// the delta.
struct revision_header {
    uint64_t number { 0 };
    /// Hash of the parent's header; zeros for the first revision.
    content_hash parent;
    /// Id of the operation that made the revision, random hexadecimal digits. Shows in the history whether a write whose reply was lost was
    /// accepted.
    std::string operationId;
    std::string author;
    /// The operator's description of the change, one line.
    std::string note;
    /// Wall-clock time of the operator's tool.
    time_point createdAt;
    /// Hash of the encoded manifest.
    content_hash manifest;
    /// Hash of the encoded delta, or zeros when the delta is too large to be stored with the header.
    content_hash delta;

    auto operator==(const revision_header&) const -> bool = default;
};

/// Identifies one immutable chunk. `tag` is derived from the operation that wrote it, so that a chunk that was removed as garbage is never
/// referenced again, even when the same content is written later.
struct chunk_reference {
    content_hash hash;
    std::string tag;

    auto operator==(const chunk_reference&) const -> bool = default;
};

/// The chunks of a revision. The entry of `key` is in chunk `hashName(key) % chunks.size()`.
struct chunk_manifest {
    std::vector<chunk_reference> chunks;
};

/// A header with its delta, decoded and encoded. The encoded form is the value of the head key and is sent between nodes.
struct revision_record {
    revision_id id;
    revision_header header;
    /// The changes from the parent, when they are stored with the header.
    std::optional<std::vector<entry_change>> delta;
    /// The encoded record.
    std::string bytes;
};

} // namespace gypsumhub
