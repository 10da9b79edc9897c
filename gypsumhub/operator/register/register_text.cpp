#include "gypsumhub/operator/register/register_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto baseMarker = std::string_view { "# gypsumhub " };
    constexpr auto revisionMarker = std::string_view { " at revision " };
    constexpr auto shortHashDigits = size_t { 12 };

    auto formatTime(time_point instant) -> std::string
    {
        auto wholeSeconds = static_cast<std::time_t>(instant.ns / seconds(1).ns);
        auto parts = std::tm {};
        gmtime_r(&wholeSeconds, &parts);
        auto text = std::array<char, 32> {};
        auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
        return { text.data(), size };
    }

    auto padded(std::string text, size_t width) -> std::string
    {
        text.resize(std::max(width, text.size()), ' ');
        return text + ' ';
    }

    auto countText(size_t count) -> std::string
    {
        return std::to_string(count) + (count == 1 ? " entry" : " entries");
    }

    auto changedText(const accepted_change& change) -> std::string
    {
        auto oldEntries = std::vector<configuration_entry> {};
        for (auto& entry : change.changes) {
            auto body = change.parent ? change.parent->find(entry.key) : leaf::result<std::optional<std::string>>(std::nullopt);
            if (body && body.value())
                oldEntries.push_back({ entry.key, *body.value() });
        }
        return formatChanges(oldEntries, change.changes);
    }

} // namespace

auto formatBaseLine(config_document document, const revision_id& id) -> std::string
{
    return std::string(baseMarker) + std::string(toString(document)) + std::string(revisionMarker) + std::to_string(id.number)
        + " (keep this line: apply needs it to merge)\n";
}

auto readBaseLine(config_document document, std::string_view text, const std::string& path) -> leaf::result<std::optional<uint64_t>>
{
    auto line = text.substr(0, text.find('\n'));
    if (!line.starts_with(baseMarker))
        return std::optional<uint64_t> {};
    line.remove_prefix(baseMarker.size());
    auto expected = std::string(toString(document)) + std::string(revisionMarker);
    auto number = uint64_t { 0 };
    auto digits = line.substr(std::min(expected.size(), line.size()));
    auto error = std::from_chars(digits.data(), digits.data() + digits.size(), number).ec;
    if (line.starts_with(expected) && error == std::errc {})
        return std::optional(number);
    return failWith({ result_code::ConfigurationInvalid, "the first line does not contain a revision of the " + std::string(toString(document)), path, 1, "keep the line that `show` printed, or remove it" });
}

auto formatDocument(config_document document, const revision_id& id, std::span<const configuration_entry> entries) -> std::string
{
    auto text = formatBaseLine(document, id);
    auto prefix = std::string(toString(document)) + '/';
    for (auto& entry : entries) {
        if (entry.key.starts_with(prefix))
            text += '\n' + toIniText(entry);
    }
    return text;
}

auto formatPlan(const accepted_change& plan) -> std::string
{
    if (plan.changes.empty())
        return "nothing to change\n";
    return changedText(plan) + countText(plan.changes.size()) + " would change; nothing was written\n";
}

auto formatAccepted(const accepted_change& change) -> std::string
{
    if (change.changes.empty())
        return "nothing to change\n";
    auto text = changedText(change) + countText(change.changes.size()) + " changed; revision " + std::to_string(change.revision->id.number) + ' '
        + toHex(change.revision->id.hash).substr(0, shortHashDigits) + " is accepted\n";
    if (change.commitRetries > 0)
        text += "merged with concurrent changes of other operators\n";
    return text;
}

auto formatHistory(std::span<const revision_record> records) -> std::string
{
    auto text = padded("REVISION", 8) + padded("HASH", shortHashDigits) + padded("TIME", 20) + padded("AUTHOR", 12) + padded("OPERATION", 32) + "NOTE\n";
    for (auto& record : records) {
        auto& header = record.header;
        text += padded(std::to_string(header.number), 8) + padded(toHex(record.id.hash).substr(0, shortHashDigits), shortHashDigits)
            + padded(formatTime(header.createdAt), 20) + padded(header.author, 12) + padded(header.operationId, 32) + header.note + '\n';
    }
    return text;
}

} // namespace gypsumhub
