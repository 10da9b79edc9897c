#include "gypsumhub/config/entry_merge.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace gypsumhub {

namespace {

    auto bodyOf(std::span<const configuration_entry> entries, std::string_view key) -> std::optional<std::string>
    {
        auto found = std::ranges::lower_bound(entries, key, {}, &configuration_entry::key);
        if (found == entries.end() || found->key != key)
            return std::nullopt;
        return found->body;
    }

    auto prefixLines(std::string_view text, std::string_view prefix) -> std::string
    {
        auto prefixed = std::string {};
        while (!text.empty()) {
            auto end = std::min(text.find('\n'), text.size());
            prefixed += std::string(prefix) + std::string(text.substr(0, end)) + '\n';
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return prefixed;
    }

    auto formatVersion(std::string_view title, const std::optional<std::string>& body) -> std::string
    {
        if (!body)
            return "  " + std::string(title) + ": removed or absent\n";
        return "  " + std::string(title) + ":\n" + prefixLines(*body, "    ");
    }

} // namespace

auto diffEntries(std::span<const configuration_entry> from, std::span<const configuration_entry> to) -> std::vector<entry_change>
{
    auto changes = std::vector<entry_change> {};
    while (!from.empty() || !to.empty()) {
        if (to.empty() || (!from.empty() && from.front().key < to.front().key)) {
            changes.push_back({ from.front().key, std::nullopt });
            from = from.subspan(1);
            continue;
        }
        auto isInBoth = !from.empty() && from.front().key == to.front().key;
        if (!isInBoth || from.front().body != to.front().body)
            changes.push_back({ to.front().key, to.front().body });
        if (isInBoth)
            from = from.subspan(1);
        to = to.subspan(1);
    }
    return changes;
}

auto applyChanges(std::span<const configuration_entry> entries, std::span<const entry_change> changes) -> std::vector<configuration_entry>
{
    auto result = std::vector<configuration_entry> {};
    result.reserve(entries.size() + changes.size());
    for (auto& change : changes) {
        while (!entries.empty() && entries.front().key < change.key) {
            result.push_back(entries.front());
            entries = entries.subspan(1);
        }
        if (!entries.empty() && entries.front().key == change.key)
            entries = entries.subspan(1);
        if (change.body)
            result.push_back({ change.key, *change.body });
    }
    result.insert(result.end(), entries.begin(), entries.end());
    return result;
}

auto mergeEntries(std::span<const configuration_entry> base, std::span<const configuration_entry> mine, std::span<const configuration_entry> theirs) -> merge_result
{
    auto merged = merge_result {};
    for (auto& change : diffEntries(base, mine)) {
        auto baseBody = bodyOf(base, change.key);
        auto theirBody = bodyOf(theirs, change.key);
        if (theirBody == change.body)
            continue;
        if (theirBody == baseBody)
            merged.changes.push_back(change);
        else
            merged.conflicts.push_back({ change.key, std::move(baseBody), change.body, std::move(theirBody) });
    }
    return merged;
}

auto formatChanges(std::span<const configuration_entry> from, std::span<const entry_change> changes) -> std::string
{
    auto text = std::string {};
    for (auto& change : changes) {
        auto oldBody = bodyOf(from, change.key);
        if (oldBody && change.body) {
            text += "  " + toIniText({ change.key, {} }) + prefixLines(*oldBody, "- ") + prefixLines(*change.body, "+ ");
            continue;
        }
        auto body = oldBody ? *oldBody : change.body.value_or("");
        text += prefixLines(toIniText({ change.key, body }), oldBody ? "- " : "+ ");
    }
    return text;
}

auto formatConflict(const entry_conflict& conflict) -> std::string
{
    return conflict.key + "\n" + formatVersion("base", conflict.base) + formatVersion("yours", conflict.mine) + formatVersion("accepted by another operator", conflict.theirs);
}

} // namespace gypsumhub
