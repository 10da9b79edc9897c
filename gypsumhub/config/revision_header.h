#pragma once

#include "gypsumhub/config/entry_merge.h"
#include "gypsumhub/config/revision.h"
#include "gypsumhub/core/time_point.h"

#include <optional>
#include <string>
#include <vector>

namespace gypsumhub {

/// What identifies one revision. Its hash is taken over the encoded header and so covers the parent's hash, the content and the delta.
struct revision_header {
    uint64_t number { 0 };
    /// Hash of the parent's header; zeros for the first revision.
    content_hash parent;
    /// Random hexadecimal digits of the operation that made the revision; settles writes whose reply was lost.
    std::string operationId;
    std::string author;
    /// What the operator did, one line.
    std::string note;
    /// Wall clock of the operator's tool.
    time_point createdAt;
    content_hash manifest;
    /// Hash of the encoded delta, or zeros when the delta is too large to travel with the header.
    content_hash delta;

    auto operator==(const revision_header&) const -> bool = default;
};

/// Names one immutable chunk. `tag` comes from the operation that wrote it, so that a chunk that was removed as garbage
/// is never named again, even when its content returns.
struct chunk_reference {
    content_hash hash;
    std::string tag;

    auto operator==(const chunk_reference&) const -> bool = default;
};

/// The chunks of a revision: chunk number `hashName(key) % chunks.size()` holds an entry.
struct chunk_manifest {
    std::vector<chunk_reference> chunks;
};

/// A header with its delta in encoded form: what the head key holds and what travels between nodes.
struct revision_record {
    revision_id id;
    revision_header header;
    /// The changes from the parent, when they travel with the header.
    std::optional<std::vector<entry_change>> delta;
    /// The encoded record.
    std::string bytes;
};

} // namespace gypsumhub
