#pragma once

#include "gypsumhub/config/config_revision.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The parts that bring a node from revision `have` to a revision held here: the records between when they are at hand and
/// carry their deltas, else those records, the manifest and all chunks. A part is made when it is asked for.
class revision_parts {
public:
    revision_parts(std::shared_ptr<const config_revision>, const revision_id& have);

    auto count() const -> uint32_t;
    /// One encoded part; `index` is less than `count()`.
    auto part(uint32_t index) const -> std::string;
    /// Whether the parts hold the whole content.
    auto isWhole() const -> bool { return m_isWhole; }

private:
    std::shared_ptr<const config_revision> m_revision;
    std::vector<std::shared_ptr<const revision_record>> m_records;
    bool m_isWhole { false };
};

/// A revision that was put together, with what changed from the one before; no changes when there was none before.
struct revision_update {
    std::shared_ptr<const config_revision> revision;
    std::vector<entry_change> changes;
};

/// Puts together the parts of a `revision_parts`, which may come in any order and from several peers that hold the same
/// revision, and checks all hashes and the chain from the revision that is held. Nothing counts before everything is verified.
class revision_assembler {
public:
    /// `current` is the verified revision, or null when there is none yet; `wanted` is the revision that the parts lead to.
    revision_assembler(std::shared_ptr<const config_revision> current, const revision_id& wanted);

    /// Takes a part; a part that was taken before is passed over. Fails with `ConfigurationInvalid` when it cannot be part of the set.
    auto put(uint32_t index, uint32_t count, std::string_view bytes) -> leaf::result<void>;
    /// The first part that is missing, or nothing when all are here.
    auto firstMissing() const -> std::optional<uint32_t>;
    /// Verifies and applies. Fails with 502, 503 or 504 when the history does not continue `current`; call when no part is missing.
    auto finish() -> leaf::result<revision_update>;

private:
    auto readRecords(std::vector<revision_record>& records) const -> leaf::result<size_t>;
    auto applyRecords(const std::vector<revision_record>&) const -> leaf::result<revision_update>;
    auto assembleWhole(const std::vector<revision_record>&, size_t manifestIndex) -> leaf::result<revision_update>;

    std::shared_ptr<const config_revision> m_current;
    revision_id m_wanted;
    std::vector<std::shared_ptr<const std::string>> m_parts;
};

} // namespace gypsumhub
