#pragma once

#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/store/configuration_loader.h"
#include "gypsumhub/store/store.h"
#include "gypsumhub/store/store_clock.h"

#include <memory>
#include <optional>
#include <string_view>

namespace gypsumhub {

/// Writes revisions to the store: chunks, manifest and the parent's record first, then the head. Also bounds the number of
/// old keys.
class revision_publisher {
public:
    revision_publisher(store&, store_clock);

    /// Publishes `next` as the child of the head that was read as `parent` (nothing: no head yet). True when it is in force,
    /// false when another change was accepted first, which is settled by reading back when replies are lost.
    /// Fails with `StoreReplyLost` when the deadline leaves it open.
    auto publish(const config_revision& next, const std::optional<configuration_head>& parent, time_point deadline) -> leaf::result<bool>;

    /// Puts `revision` in place of whatever the head says. Fails with `StoreCompareFailed` when the head moves meanwhile.
    auto overwrite(const config_revision&, time_point deadline) -> leaf::result<void>;

    /// Removes what only revisions up to `newest.number - keptRevisions` name.
    auto removeOldRevisions(const revision_header& newest, uint32_t keptRevisions, time_point deadline) -> leaf::result<void>;

private:
    enum class write_outcome : uint8_t {
        Written,
        /// Another value was there.
        Refused,
    };

    /// Repeats a compare-and-swap whose outcome is open until it is certain. The repetition cannot take effect twice, since
    /// the first effect changes the revision that it compares with.
    auto write(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<write_outcome>;
    /// Writes a key whose value never changes; finding it there is success.
    auto writeOnce(std::string_view key, std::string_view value, time_point deadline) -> leaf::result<void>;
    /// Writes a record of history; another record under the number is a fork.
    auto writeRecord(const revision_record&, time_point deadline) -> leaf::result<void>;
    /// Replaces whatever record is there; false when it was the same already.
    auto replaceRecord(const revision_record&, time_point deadline) -> leaf::result<bool>;
    auto removeForeignParent(const revision_record& oldest, time_point deadline) -> leaf::result<void>;
    auto writeManifest(const config_revision&, time_point deadline) -> leaf::result<void>;
    auto moveHead(const revision_record&, uint64_t expectedRevision, time_point deadline) -> leaf::result<bool>;
    auto isInHistory(const revision_record&, time_point deadline) -> leaf::result<bool>;
    /// Takes back what a change that was not accepted has written.
    auto removeContent(const config_revision&, time_point deadline) -> leaf::result<void>;
    auto removeRevision(uint64_t number, time_point deadline) -> leaf::result<bool>;
    auto readManifest(uint64_t number, time_point deadline) -> leaf::result<std::optional<chunk_manifest>>;

    store& m_store;
    store_clock m_clock;
};

} // namespace gypsumhub
