#pragma once

#include "gypsumhub/config/route_table.h"
#include "gypsumhub/core/fault.h"

#include <memory>
#include <string_view>

namespace gypsumhub {

/// Reads the configuration as the operator writes it. Fails with `ConfigurationInvalid` and what is wrong where.
auto readConfigurationDocument(std::string_view text) -> leaf::result<std::shared_ptr<const route_table>>;

} // namespace gypsumhub
