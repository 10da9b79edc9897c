#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/config/entry_merge.h"
#include "gypsumhub/config/revision_header.h"
#include "gypsumhub/core/fault.h"

#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The complete stored form of one revision. Immutable; unchanged chunks are shared with the previous revision.
struct config_revision {
    revision_id id;
    revision_header header;
    chunk_manifest manifest;
    /// Encoded chunks in the order of the manifest.
    std::vector<std::shared_ptr<const std::string>> chunks;
    /// Records of the latest revisions, oldest first and ending with this one. Peers with an older revision are updated from them.
    std::deque<std::shared_ptr<const revision_record>> recent;

    /// All entries, sorted by key.
    auto entries() const -> leaf::result<std::vector<configuration_entry>>;
    /// The body of an entry, or nothing when the entry does not exist.
    auto find(std::string_view key) const -> leaf::result<std::optional<std::string>>;
    /// Total size of the encoded chunks, in bytes.
    auto chunkBytes() const -> size_t;
};

/// The operation that makes a change: its id, author, note and time.
struct revision_origin {
    std::string operationId;
    std::string author;
    std::string note;
    time_point createdAt;
};

/// The tag of all chunks that an operation writes: the first digits of the hash of its id.
auto chunkTag(std::string_view operationId) -> std::string;

/// Length limit of `config_revision::recent`.
constexpr auto maxRecentRecords = size_t { 256 };

/// Creates the child of `parent` (null for the first revision) with these changes, which are sorted by key. Only chunks with changed
/// entries are new, unless the content grew or shrank so much that the number of chunks changes.
auto makeRevision(std::shared_ptr<const config_revision> parent, std::span<const entry_change>, const revision_origin&) -> leaf::result<std::shared_ptr<const config_revision>>;

/// Applies the record of a direct child that was created elsewhere and verifies the hash of the resulting content. Fails as `verifyChild`
/// does when the record is not a direct child, and with `ConfigurationChunkMissing` when it has no delta.
auto applyRecord(const std::shared_ptr<const config_revision>& parent, const revision_record&) -> leaf::result<std::shared_ptr<const config_revision>>;

/// Assembles a revision from its record, manifest and chunks and verifies all hashes. `recent` may contain the preceding records.
auto assembleRevision(const revision_record&, std::string_view manifestBytes, std::vector<std::shared_ptr<const std::string>> chunks,
    std::deque<std::shared_ptr<const revision_record>> recent) -> leaf::result<std::shared_ptr<const config_revision>>;

/// Builds the configuration of a revision from all its entries.
auto buildConfiguration(const config_revision&) -> leaf::result<std::shared_ptr<const configuration>>;

/// Builds the configuration of revision `id` by applying `changes` to `previous`. Unchanged parts are shared with `previous`.
auto updateConfiguration(std::shared_ptr<const configuration> previous, const revision_id&, std::span<const entry_change> changes) -> leaf::result<std::shared_ptr<const configuration>>;

/// A revision together with the configuration built from it.
struct configured_revision {
    std::shared_ptr<const config_revision> revision;
    std::shared_ptr<const configuration> config;
};

/// Builds the configuration of `next`: by the changes since the given revision, or from all entries when that has no configuration.
auto advanceConfiguration(const configured_revision&, const std::shared_ptr<const config_revision>& next) -> leaf::result<configured_revision>;

/// The changes between two revisions, sorted by key. Decodes only chunks that differ, provided that both have the same number of chunks.
auto diffRevisions(const config_revision& from, const config_revision& to) -> leaf::result<std::vector<entry_change>>;

} // namespace gypsumhub
