#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/fault.h"

#include <functional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Where a register section was written; lets faults name the line.
struct section_origin {
    std::string file;
    uint32_t line { 0 };
};

/// Finds the origin of a register section by kind and name; empty when it is not part of the files at hand.
using origin_finder = std::function<section_origin(std::string_view kind, std::string_view name)>;

/// Checks what no section shows alone: addresses used twice, names with equal hashes, and references to services and
/// data centres that are gone. Adds a fault for each.
auto checkConfiguration(const configuration&, const origin_finder&, fault_list&) -> void;

} // namespace gypsumhub
