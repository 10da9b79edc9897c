#pragma once

#include "gypsumhub/config/section_reader.h"

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

namespace gypsumhub {

/// One kind of section of a settings file and the function that reads it.
template <typename Settings>
struct settings_section {
    std::string_view kind;
    void (*read)(section_reader&, Settings&);
    bool isRequired;
};

/// Reads every section of the document by the table. Adds a `SettingsInvalid` fault for each unknown section, and for each
/// required one that is missing.
template <typename Settings>
auto readSettingsSections(const ini_document& document, std::span<const settings_section<Settings>> table, Settings& settings, fault_list& faults) -> void
{
    auto report = [&](uint32_t line, std::string message, std::string hint) {
        faults.faults.push_back({ result_code::SettingsInvalid, std::move(message), document.file, line, std::move(hint) });
    };
    auto known = std::string("known sections:");
    for (auto& row : table)
        known.append(" [").append(row.kind).append("]");
    for (auto& section : document.sections) {
        auto row = std::ranges::find(table, section.kind, &settings_section<Settings>::kind);
        if (row == table.end() || !section.name.empty()) {
            report(section.line, "section [" + section.kind + (section.name.empty() ? "" : " " + section.name) + "] is unknown", known);
            continue;
        }
        auto reader = section_reader(section, document.file, result_code::SettingsInvalid, faults);
        row->read(reader, settings);
        reader.finish();
    }
    for (auto& row : table) {
        if (row.isRequired && std::ranges::find(document.sections, row.kind, &ini_section::kind) == document.sections.end())
            report(0, "section [" + std::string(row.kind) + "] is missing", "add the section");
    }
}

} // namespace gypsumhub
