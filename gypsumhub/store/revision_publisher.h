#pragma once

#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/store/configuration_loader.h"
#include "gypsumhub/store/store.h"
#include "gypsumhub/store/store_clock.h"

#include <memory>
#include <optional>
#include <string_view>

namespace gypsumhub {

/// Writes revisions to the store: chunks, manifest and the parent's record first, then the head. Also removes old revisions, so that the
/// number of keys stays bounded.
class revision_publisher {
public:
    revision_publisher(store&, store_clock);

    /// Publishes `next` as the child of the head that was read as `parent` (nothing when there is no head yet). Returns true when it became the
    /// head, and false when another change was accepted first. When a reply is lost, the outcome is determined by reading back. Fails with
    /// `StoreReplyLost` when it is still unknown at the deadline.
    auto publish(const config_revision& next, const std::optional<configuration_head>& parent, time_point deadline) -> leaf::result<bool>;

    /// Makes the given revision the head, regardless of the current head. Fails with `StoreCompareFailed` when another change is accepted at the
    /// same time.
    auto overwrite(const config_revision&, time_point deadline) -> leaf::result<void>;

    /// Removes the records, manifests and chunks that only revisions up to `newest.number - keptRevisions` use; a few revisions per call.
    auto removeOldRevisions(const revision_header& newest, uint32_t keptRevisions, time_point deadline) -> leaf::result<void>;

private:
    /// Known outcome of a compare-and-swap.
    enum class write_outcome : uint8_t {
        Written,
        /// Another write changed the key first.
        Refused,
    };

    /// Retries a compare-and-swap until its outcome is known. The retries cannot take effect twice, since the first effect changes the revision
    /// that they expect.
    auto write(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<write_outcome>;
    /// Writes a key whose value never changes; succeeds also when the key exists.
    auto writeOnce(std::string_view key, std::string_view value, time_point deadline) -> leaf::result<void>;
    /// Writes a record of the history; fails with `ConfigurationForked` when another record has the same number.
    auto writeRecord(const revision_record&, time_point deadline) -> leaf::result<void>;
    /// Writes or replaces the record of this number; returns false when the stored record is already the same.
    auto replaceRecord(const revision_record&, time_point deadline) -> leaf::result<bool>;
    auto removeForkedParent(const revision_record& oldest, time_point deadline) -> leaf::result<void>;
    auto writeManifest(const config_revision&, time_point deadline) -> leaf::result<void>;
    auto advanceHead(const revision_record&, uint64_t expectedRevision, time_point deadline) -> leaf::result<bool>;
    auto isInHistory(const revision_record&, time_point deadline) -> leaf::result<bool>;
    /// Removes the chunks and the manifest that a change wrote before it was not accepted.
    auto removeContent(const config_revision&, time_point deadline) -> leaf::result<void>;
    auto removeRevision(uint64_t number, time_point deadline) -> leaf::result<bool>;
    auto readManifest(uint64_t number, time_point deadline) -> leaf::result<std::optional<chunk_manifest>>;

    store& m_store;
    store_clock m_clock;
};

} // namespace gypsumhub
