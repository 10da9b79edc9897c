#pragma once

#include "gypsumhub/fleet/configuration_source.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

namespace gypsumhub {

/// All revisions that exist in a test, with their parents: what hash chains prove in the product is looked up here.
class fake_history {
public:
    /// Adds a child of `parent` (number 0 for a first one); `branch` tells children of one parent apart. Its number is one more
    /// than the parent's, plus `skip`.
    auto add(const revision_id& parent, uint8_t branch = 0, uint64_t skip = 0) -> revision_id;

    /// Whether `ancestor` is `revision` or lies in its history.
    auto isAncestor(const revision_id& ancestor, const revision_id& revision) const -> bool;

    /// The revision that a part belongs to.
    auto find(std::string_view part) const -> revision_id;

    /// Parts of a whole transfer, and bytes of each; a transfer from an earlier revision has one part.
    uint32_t fullTransferParts { 4 };
    std::size_t partBytes { 1024 };

private:
    std::map<revision_id, revision_id> m_parents;
    uint8_t m_next { 0 };
};

/// A `configuration_source` without content.
class fake_network_source final : public configuration_source {
public:
    explicit fake_network_source(const fake_history&);

    auto current() const -> revision_id override { return m_current; }
    auto partsTo(const revision_id& wanted, const revision_id& have) const -> std::unique_ptr<revision_part_source> override;
    auto beginUpdate(const revision_id& wanted) -> std::unique_ptr<revision_part_sink> override;

    /// Takes a revision as a reader of the store would; false when it does not continue the current one.
    auto adopt(const revision_id&) -> bool;

    /// How often `current` went to an earlier number; must stay 0.
    auto revisionRegressions() const -> uint32_t { return m_revisionRegressions; }

private:
    class part_sink;

    auto setCurrent(const revision_id&) -> void;

    const fake_history& m_history;
    revision_id m_current;
    uint32_t m_revisionRegressions { 0 };
};

} // namespace gypsumhub
