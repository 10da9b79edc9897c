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

/// An entry that two operators changed differently. Absent bodies mean that the entry does not exist there.
struct entry_conflict {
    std::string key;
    std::optional<std::string> base;
    std::optional<std::string> mine;
    std::optional<std::string> theirs;
};

/// Result of a three-way merge: the changes to make to `theirs`, or conflicts.
struct merge_result {
    std::vector<entry_change> changes;
    std::vector<entry_conflict> conflicts;
};

/// The changes that lead from one set of entries to another. All sets are in order of key.
auto diffEntries(std::span<const configuration_entry> from, std::span<const configuration_entry> to) -> std::vector<entry_change>;

/// The entries after the changes; changes are in order of key.
auto applyChanges(std::span<const configuration_entry>, std::span<const entry_change>) -> std::vector<configuration_entry>;

/// Merges what changed from `base` to `mine` into `theirs`, entry by entry. Equal changes on both sides are no conflict.
auto mergeEntries(std::span<const configuration_entry> base, std::span<const configuration_entry> mine, std::span<const configuration_entry> theirs) -> merge_result;

/// For people: the changes with the lines taken out and put in, `-` and `+` in front.
auto formatChanges(std::span<const configuration_entry> from, std::span<const entry_change>) -> std::string;

/// For people: the entry with its three versions.
auto formatConflict(const entry_conflict&) -> std::string;

} // namespace gypsumhub
