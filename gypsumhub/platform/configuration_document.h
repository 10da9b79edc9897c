#pragma once

#include "gypsumhub/config/route_table.h"
#include "gypsumhub/core/fault.h"

#include <memory>
#include <string_view>

namespace gypsumhub {

/// Parses the configuration document written by the operator. Fails with `ConfigurationInvalid` and a list of all faults with their
/// place in the document.
auto readConfigurationDocument(std::string_view text) -> leaf::result<std::shared_ptr<const route_table>>;

} // namespace gypsumhub
