#pragma once

#include "gypsumhub/core/fault.h"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// One `key = value` line.
struct ini_pair {
    std::string key;
    std::string value;
    /// Line in the file, counted from 1.
    uint32_t line { 0 };
};

/// One section: `[KIND NAME]` or `[KIND]`.
struct ini_section {
    std::string kind;
    /// Empty when the header contains only a kind.
    std::string name;
    /// Line of the header, counted from 1.
    uint32_t line { 0 };
    std::vector<ini_pair> pairs;
};

/// A parsed INI file. Sections and keys are in the order of the file.
struct ini_document {
    std::string file;
    std::vector<ini_section> sections;
};

/// Parses INI text. Fails with `code` and all faults of the text: lines that are neither header, pair nor comment, pairs before the first
/// header, duplicate keys, duplicate sections, and lines or keys that are too long. `file` is named in faults.
auto parseIni(std::string_view text, std::string_view file, result_code code) -> leaf::result<ini_document>;

/// Reads and parses an INI file. Fails with `FileUnreadable` when the file cannot be read or has more than `maxBytes`, else as `parseIni`
/// does.
auto readIni(const std::string& path, result_code code, size_t maxBytes = std::numeric_limits<size_t>::max()) -> leaf::result<ini_document>;

} // namespace gypsumhub
