#pragma once

#include "gypsumhub/config/route_table.h"

#include <string>
#include <vector>

namespace gypsumhub {

/// Describes parts of a valid table that are probably mistakes: routes that can never match, services, weights and customers without
/// effect, and limits that contradict each other. One line per finding; none contains a key.
auto warningsAbout(const route_table&) -> std::vector<std::string>;

} // namespace gypsumhub
