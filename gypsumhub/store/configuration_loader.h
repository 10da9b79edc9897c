#pragma once

#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/store/store.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace gypsumhub {

/// The record in the head key, with the key's revision in the store.
struct configuration_head {
    revision_record record;
    /// The expected revision for a compare-and-swap of the head.
    uint64_t modRevision { 0 };
};

/// Reads revisions from the store and verifies them against the caller's current revision. Never returns an older or a forked revision: it
/// fails with `ConfigurationRolledBack` or `ConfigurationForked` instead, and the caller keeps its current revision.
class configuration_loader {
public:
    explicit configuration_loader(store&);

    /// Reads the head revision; null when the store has none. `current` may be null. Chunks of `current` are not read again, and `current` itself
    /// is returned when the head did not change.
    auto load(const std::shared_ptr<const config_revision>& current, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    /// Watches the head for a change until `watchDeadline`; reads the head once when the watch reported nothing. Returns the same as `load`.
    /// `deadline` applies to the reads.
    auto loadNext(const std::shared_ptr<const config_revision>& current, time_point watchDeadline, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    /// Reads the head; nothing when the store has none.
    auto readHead(time_point deadline) -> leaf::result<std::optional<configuration_head>>;

    /// Reads the complete revision of a record. Chunks that were read before a failure are not read again by the next call.
    auto loadRecord(const revision_record&, const std::shared_ptr<const config_revision>& current, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    /// Reads the records before `newest`, newest first, down to number `oldest`, and verifies that each is the parent of its successor. Stops
    /// early at the end of the stored history.
    auto readHistory(const revision_record& newest, uint64_t oldest, time_point deadline) -> leaf::result<std::vector<revision_record>>;

private:
    auto readChunk(const chunk_reference&, time_point deadline) -> leaf::result<std::shared_ptr<const std::string>>;
    /// Verifies the head entry against `current` and loads its revision.
    auto loadHead(const std::shared_ptr<const config_revision>& current, const store_entry& head, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    store& m_store;
    /// Store revision of the head when it was last read; the next watch starts after it.
    uint64_t m_headModRevision { 0 };
    /// Chunks of an unfinished load, by hash.
    std::map<content_hash, std::shared_ptr<const std::string>> m_loadedChunks;
};

} // namespace gypsumhub
