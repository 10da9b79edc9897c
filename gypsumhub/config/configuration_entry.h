#pragma once

#include "gypsumhub/config/ini_document.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The two documents that operators write.
enum class config_document : uint8_t {
    Register,
    Rules,
};

/// "register" or "rules".
auto toString(config_document) -> std::string_view;

/// One section of a document as canonical text: the unit of changes, merges and storage.
struct configuration_entry {
    /// "DOCUMENT/KIND NAME", such as "register/vm bookdesk-01".
    std::string key;
    /// One `key = value` line per pair, sorted by key.
    std::string body;

    auto operator<=>(const configuration_entry&) const = default;
};

/// A section and the document that contains it.
struct document_section {
    config_document document { config_document::Register };
    ini_section section;
};

/// The canonical entry of a section.
auto toEntry(config_document, const ini_section&) -> configuration_entry;

/// The entries of a whole document, sorted by key.
auto toEntries(config_document, const ini_document&) -> std::vector<configuration_entry>;

/// The section of an entry; fails with `ConfigurationInvalid` when the entry is not in canonical form.
auto toSection(const configuration_entry&) -> leaf::result<document_section>;

/// The entry as an operator would write it: header line and body.
auto toIniText(const configuration_entry&) -> std::string;

} // namespace gypsumhub
