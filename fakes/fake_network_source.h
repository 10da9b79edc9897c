#pragma once

#include "gypsumhub/fleet/configuration_source.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

namespace gypsumhub {

/// All revisions of a test with their parents. It replaces the hash chains that prove ancestry in production.
class fake_history {
public:
    /// Adds a child of `parent`, or a first revision if the number of `parent` is 0. `branch` distinguishes children of one parent.
    /// The child's number is the parent's number + 1 + `skip`.
    auto add(const revision_id& parent, uint8_t branch = 0, uint64_t skip = 0) -> revision_id;

    /// Whether `ancestor` is `revision` itself or one of its ancestors.
    auto isAncestor(const revision_id& ancestor, const revision_id& revision) const -> bool;

    /// Finds the revision that a transferred part belongs to.
    auto find(std::string_view part) const -> revision_id;

    /// Number of parts of a full transfer and the size of each. A transfer from an earlier revision has one part.
    uint32_t fullTransferParts { 4 };
    std::size_t partBytes { 1024 };

private:
    std::map<revision_id, revision_id> m_parents;
    uint8_t m_next { 0 };
};

/// A `configuration_source` that stores only revision ids and no content.
class fake_network_source final : public configuration_source {
public:
    explicit fake_network_source(const fake_history&);

    auto current() const -> revision_id override { return m_current; }
    auto partsTo(const revision_id& wanted, const revision_id& have) const -> std::unique_ptr<revision_part_source> override;
    auto beginUpdate(const revision_id& wanted) -> std::unique_ptr<revision_part_sink> override;

    /// Adopts a revision as a store reader does. Returns false when it does not descend from the current one.
    auto adopt(const revision_id&) -> bool;

    /// Number of times that `current` moved to a lower revision number. Must stay 0.
    auto revisionRegressions() const -> uint32_t { return m_revisionRegressions; }

private:
    class part_sink;

    auto setCurrent(const revision_id&) -> void;

    const fake_history& m_history;
    revision_id m_current;
    uint32_t m_revisionRegressions { 0 };
};

} // namespace gypsumhub
