#pragma once

#include "gypsumhub/config/configuration_entry.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gypsumhub {

/// One entry added or replaced (`body` set) or removed.
struct entry_change {
    std::string key;
    std::optional<std::string> body;

    auto operator==(const entry_change&) const -> bool = default;
};

/// An entry that two operators changed differently. A body is absent when the entry does not exist in that version.
struct entry_conflict {
    std::string key;
    std::optional<std::string> base;
    std::optional<std::string> mine;
    std::optional<std::string> theirs;
};

/// Result of a three-way merge: the changes to apply to `theirs`, and the conflicts.
struct merge_result {
    std::vector<entry_change> changes;
    std::vector<entry_conflict> conflicts;
};

/// The changes that turn one set of entries into another. Both sets and the result are sorted by key.
auto diffEntries(std::span<const configuration_entry> from, std::span<const configuration_entry> to) -> std::vector<entry_change>;

/// Applies the changes to the entries. Both and the result are sorted by key.
auto applyChanges(std::span<const configuration_entry>, std::span<const entry_change>) -> std::vector<configuration_entry>;

/// Merges the changes from `base` to `mine` into `theirs`, entry by entry. Equal changes on both sides do not conflict.
auto mergeEntries(std::span<const configuration_entry> base, std::span<const configuration_entry> mine, std::span<const configuration_entry> theirs) -> merge_result;

/// The changes as text for operators: removed lines begin with `-`, added lines with `+`.
auto formatChanges(std::span<const configuration_entry> from, std::span<const entry_change>) -> std::string;

/// The conflict as text for operators: the key and its three versions.
auto formatConflict(const entry_conflict&) -> std::string;

} // namespace gypsumhub
