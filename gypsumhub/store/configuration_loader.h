#pragma once

#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/store/store.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace gypsumhub {

/// The head key as it was read.
struct configuration_head {
    revision_record record;
    /// The argument of the compare-and-swap that replaces it.
    uint64_t modRevision { 0 };
};

/// Reads revisions from the store and verifies them against the one that is held. Never returns an older or a forked revision:
/// it fails with 502 or 503 instead, and the caller keeps what it has.
class configuration_loader {
public:
    explicit configuration_loader(store&);

    /// The revision in force; null when the store has none. `held` may be null. Chunks of `held` are not read again, and
    /// `held` itself comes back when nothing changed.
    auto load(const std::shared_ptr<const config_revision>& held, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    /// Waits for a revision after `held` by a watch until `watchDeadline`, then reads the head once if the watch was silent, and
    /// returns what `load` would. The read has until `deadline`.
    auto loadNext(const std::shared_ptr<const config_revision>& held, time_point watchDeadline, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    /// The head, or nothing when the store has none.
    auto readHead(time_point deadline) -> leaf::result<std::optional<configuration_head>>;

    /// The whole revision of a record. When it fails half-way, the next call goes on with what was read.
    auto loadRecord(const revision_record&, const std::shared_ptr<const config_revision>& held, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    /// The records before `newest`, newest first, down to number `oldest`, each verified to be the parent of the one after it.
    /// Ends early where the kept history ends.
    auto readHistory(const revision_record& newest, uint64_t oldest, time_point deadline) -> leaf::result<std::vector<revision_record>>;

private:
    auto readChunk(const chunk_reference&, time_point deadline) -> leaf::result<std::shared_ptr<const std::string>>;
    auto follow(const std::shared_ptr<const config_revision>& held, const store_entry& head, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    store& m_store;
    /// Store revision of the head when it was last read; where the next watch begins.
    uint64_t m_seenModRevision { 0 };
    /// Chunks of a load that has not ended, by hash.
    std::map<content_hash, std::shared_ptr<const std::string>> m_readChunks;
};

} // namespace gypsumhub
