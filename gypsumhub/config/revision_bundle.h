#pragma once

#include "gypsumhub/config/config_revision.h"

#include <memory>
#include <string>
#include <string_view>

namespace gypsumhub {

/// A whole revision as one text that an operator can fetch from a node and keep in a file.
auto encodeBundle(const config_revision&) -> std::string;

/// Reads a bundle and checks all its hashes; fails with `ConfigurationInvalid`.
auto decodeBundle(std::string_view) -> leaf::result<std::shared_ptr<const config_revision>>;

} // namespace gypsumhub
