#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/fault.h"

#include <functional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// File and line of a register section, for faults.
struct section_location {
    std::string file;
    uint32_t line { 0 };
};

/// Finds the location of a register section by kind and name; empty when the section was not read from the given files.
using location_finder = std::function<section_location(std::string_view kind, std::string_view name)>;

/// Checks rules that involve several sections: addresses used twice, names with equal hashes, and references to services and data centres
/// that do not exist. Adds a fault for each violation.
auto checkConfiguration(const configuration&, const location_finder&, fault_list&) -> void;

} // namespace gypsumhub
