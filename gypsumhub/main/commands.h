#pragma once

#include "gypsumhub/operator/command_line.h"

#include <span>

namespace gypsumhub {

/// Returns the commands of the program in the order of `gypsumhub --help`.
auto commandTable() -> std::span<const command_row>;

} // namespace gypsumhub
