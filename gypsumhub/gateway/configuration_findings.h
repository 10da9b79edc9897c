#pragma once

#include <optional>
#include <string>
#include <vector>

namespace gypsumhub {

/// The result of checking a configuration document, one line per finding. No line contains a key.
struct configuration_findings {
    /// Faults for which nodes refuse the document, and files that cannot be read.
    std::vector<std::string> errors;
    std::vector<std::string> warnings;
    /// Compared with the version in force.
    std::vector<std::string> differences;
};

/// Reads a configuration document as nodes do and checks it. With `against`, the file of the version in force, it is compared to that;
/// faults of that file are errors as well.
auto checkConfigurationFiles(const std::string& file, const std::optional<std::string>& against) -> configuration_findings;

/// One line per finding, errors first: "error: ", "warning: " or "difference: " and the finding. Control characters are escaped.
auto toText(const configuration_findings&) -> std::string;

/// One JSON object with the lists `errors`, `warnings` and `differences`, and a line end.
auto toJson(const configuration_findings&) -> std::string;

/// 2 with errors, 1 with warnings only, else 0.
auto exitStatus(const configuration_findings&) -> int;

} // namespace gypsumhub
