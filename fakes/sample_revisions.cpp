#include "fakes/sample_revisions.h"

#include "fakes/sample_documents.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    auto addEntries(config_document document, const std::string& text, std::vector<entry_change>& changes) -> void
    {
        auto parsed = parseIni(text, toString(document), result_code::ConfigurationInvalid).value();
        for (auto& entry : toEntries(document, parsed))
            changes.push_back({ entry.key, entry.body });
    }

} // namespace

auto sampleOrigin(std::string_view name) -> revision_origin
{
    return { "operation-" + std::string(name), "operator", std::string(name), time_point {} + seconds(1) };
}

auto sampleChanges() -> std::vector<entry_change>
{
    auto changes = std::vector<entry_change> {};
    addEntries(config_document::Register, sampleRegisterText(), changes);
    addEntries(config_document::Rules, sampleRulesText(), changes);
    std::ranges::sort(changes, {}, &entry_change::key);
    return changes;
}

auto sampleRevision() -> std::shared_ptr<const config_revision>
{
    return makeRevision(nullptr, sampleChanges(), sampleOrigin("first")).value();
}

auto callerChange(std::string_view name, uint32_t requestsPerSecond) -> entry_change
{
    return { "register/caller " + std::string(name), "requests_per_second = " + std::to_string(requestsPerSecond) + '\n' };
}

auto withCaller(const std::shared_ptr<const config_revision>& parent, std::string_view name, uint32_t requestsPerSecond) -> std::shared_ptr<const config_revision>
{
    auto changes = std::vector<entry_change> { callerChange(name, requestsPerSecond) };
    return makeRevision(parent, changes, sampleOrigin(std::string(name) + std::to_string(requestsPerSecond))).value();
}

} // namespace gypsumhub
