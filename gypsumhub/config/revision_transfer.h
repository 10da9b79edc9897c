#pragma once

#include "gypsumhub/config/config_revision.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The parts that update a node from revision `base` to the given revision. These are the records after `base` when they are all available
/// with their deltas; else the available records, the manifest and all chunks. Each part is encoded on request.
class revision_parts {
public:
    revision_parts(std::shared_ptr<const config_revision>, const revision_id& base);

    auto count() const -> uint32_t;
    /// One encoded part; `index` is less than `count()`.
    auto part(uint32_t index) const -> std::string;
    /// Whether the parts contain the manifest and all chunks.
    auto isWhole() const -> bool { return m_isWhole; }

private:
    std::shared_ptr<const config_revision> m_revision;
    std::vector<std::shared_ptr<const revision_record>> m_records;
    bool m_isWhole { false };
};

/// An assembled revision and its changes from the previous one; no changes when there was no previous one.
struct revision_update {
    std::shared_ptr<const config_revision> revision;
    std::vector<entry_change> changes;
};

/// Assembles a revision from the parts of a `revision_parts`. The parts may arrive in any order and from several peers that have the same
/// revision. `finish` verifies all hashes and the chain from the current revision; no part is used before that.
class revision_assembler {
public:
    /// `current` is the last verified revision, or null when there is none; `requested` is the revision to assemble.
    revision_assembler(std::shared_ptr<const config_revision> current, const revision_id& requested);

    /// Adds part `index` of `count`; a part that was added before is ignored. Fails with `ConfigurationInvalid` when the index or the count is
    /// invalid, when the count differs from that of earlier parts, or when the part is empty.
    auto put(uint32_t index, uint32_t count, std::string_view bytes) -> leaf::result<void>;
    /// Index of the first missing part, or nothing when the parts are complete.
    auto firstMissing() const -> std::optional<uint32_t>;
    /// Verifies the parts and assembles the revision. Fails as `verifyChain` does when the history does not continue `current`. Call it only when
    /// no part is missing.
    auto finish() -> leaf::result<revision_update>;

private:
    auto readRecords(std::vector<revision_record>& records) const -> leaf::result<size_t>;
    auto applyRecords(const std::vector<revision_record>&) const -> leaf::result<revision_update>;
    auto assembleWhole(const std::vector<revision_record>&, size_t manifestIndex) -> leaf::result<revision_update>;

    std::shared_ptr<const config_revision> m_current;
    revision_id m_requested;
    std::vector<std::shared_ptr<const std::string>> m_parts;
};

} // namespace gypsumhub
