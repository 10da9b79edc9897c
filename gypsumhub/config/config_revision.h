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

/// The whole stored form of one revision: immutable; chunks that did not change are shared with the revision before.
struct config_revision {
    revision_id id;
    revision_header header;
    chunk_manifest manifest;
    /// Encoded chunks in order of the manifest.
    std::vector<std::shared_ptr<const std::string>> chunks;
    /// Records of the latest revisions, oldest first, this one last; handed to peers that lag.
    std::deque<std::shared_ptr<const revision_record>> recent;

    /// All entries in order of key.
    auto entries() const -> leaf::result<std::vector<configuration_entry>>;
    /// The body of one entry; nothing when absent.
    auto find(std::string_view key) const -> leaf::result<std::optional<std::string>>;
    /// Encoded bytes of all chunks.
    auto chunkBytes() const -> size_t;
};

/// Who makes a change and when.
struct revision_origin {
    std::string operationId;
    std::string author;
    std::string note;
    time_point createdAt;
};

/// The tag of the chunks that an operation writes.
auto chunkTag(std::string_view operationId) -> std::string;

/// Records kept in memory for peers that lag.
constexpr auto maxRecentRecords = size_t { 256 };

/// Makes the child of `parent` (null for the first revision) with these changes, in order of key. Only chunks whose entries
/// changed are new, unless the content grew or shrank so far that all is cut anew.
auto makeRevision(std::shared_ptr<const config_revision> parent, std::span<const entry_change>, const revision_origin&) -> leaf::result<std::shared_ptr<const config_revision>>;

/// Applies the record of a direct child that another node made and checks that the content comes out with the hash that it
/// names. Fails with 502 or 503 when it is no child, and with `ConfigurationChunkMissing` when it carries no delta.
auto applyRecord(const std::shared_ptr<const config_revision>& parent, const revision_record&) -> leaf::result<std::shared_ptr<const config_revision>>;

/// Puts a revision together from its record, manifest and chunks and checks all hashes. `recent` may hold the records before.
auto assembleRevision(const revision_record&, std::string_view manifestBytes, std::vector<std::shared_ptr<const std::string>> chunks,
    std::deque<std::shared_ptr<const revision_record>> recent) -> leaf::result<std::shared_ptr<const config_revision>>;

/// The configuration of a whole revision.
auto buildConfiguration(const config_revision&) -> leaf::result<std::shared_ptr<const configuration>>;

/// The configuration of a revision made by `changes` from `previous`, sharing what did not change.
auto updateConfiguration(std::shared_ptr<const configuration> previous, const revision_id&, std::span<const entry_change> changes) -> leaf::result<std::shared_ptr<const configuration>>;

/// A revision with its configuration.
struct revision_in_force {
    std::shared_ptr<const config_revision> revision;
    std::shared_ptr<const configuration> config;
};

/// The configuration of `next`: made from the one in force by the changes alone, or whole when there is none yet.
auto advanceConfiguration(const revision_in_force&, const std::shared_ptr<const config_revision>& next) -> leaf::result<revision_in_force>;

/// The changes between two revisions; looks only into chunks that differ.
auto diffRevisions(const config_revision& from, const config_revision& to) -> leaf::result<std::vector<entry_change>>;

} // namespace gypsumhub
