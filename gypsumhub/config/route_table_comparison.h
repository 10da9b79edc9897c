#pragma once

#include "gypsumhub/config/route_table.h"

#include <string>
#include <vector>

namespace gypsumhub {

/// Describes what `next` adds, removes and changes compared with the version in force, with both values, and a version that is not
/// higher. One line per difference; keys are counted and never contained.
auto differencesBetween(const route_table& inForce, const route_table& next) -> std::vector<std::string>;

} // namespace gypsumhub
