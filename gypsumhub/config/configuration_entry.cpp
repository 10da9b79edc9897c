#include "gypsumhub/config/configuration_entry.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto registerPrefix = std::string_view { "register/" };
    constexpr auto rulesPrefix = std::string_view { "rules/" };

    auto headerOf(std::string_view key) -> std::string_view
    {
        return key.substr(key.find('/') + 1);
    }

} // namespace

auto toString(config_document document) -> std::string_view
{
    return document == config_document::Register ? "register" : "rules";
}

auto toEntry(config_document document, const ini_section& section) -> configuration_entry
{
    auto entry = configuration_entry {};
    entry.key = document == config_document::Register ? registerPrefix : rulesPrefix;
    entry.key += section.kind;
    if (!section.name.empty())
        entry.key += ' ' + section.name;
    auto pairs = section.pairs;
    std::ranges::sort(pairs, {}, &ini_pair::key);
    for (auto& pair : pairs)
        entry.body += pair.key + " = " + pair.value + '\n';
    return entry;
}

auto toEntries(config_document document, const ini_document& source) -> std::vector<configuration_entry>
{
    auto entries = std::vector<configuration_entry> {};
    entries.reserve(source.sections.size());
    for (auto& section : source.sections)
        entries.push_back(toEntry(document, section));
    std::ranges::sort(entries);
    return entries;
}

auto toSection(const configuration_entry& entry) -> leaf::result<document_section>
{
    auto isRegister = entry.key.starts_with(registerPrefix);
    auto parsed = ini_document {};
    if (isRegister || entry.key.starts_with(rulesPrefix)) {
        BOOST_LEAF_ASSIGN(parsed, parseIni(toIniText(entry), "entry " + entry.key, result_code::ConfigurationInvalid));
    }
    if (parsed.sections.size() != 1)
        return failWith({ result_code::ConfigurationInvalid, "entry '" + entry.key + "' is not one section" });
    return document_section { isRegister ? config_document::Register : config_document::Rules, std::move(parsed.sections.front()) };
}

auto toIniText(const configuration_entry& entry) -> std::string
{
    return '[' + std::string(headerOf(entry.key)) + "]\n" + entry.body;
}

} // namespace gypsumhub
