#pragma once

#include "gypsumhub/config/config_revision.h"

#include <memory>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Encodes a complete revision with its recent records as JSON text, which an operator can fetch from a node and store in a file.
auto encodeBundle(const config_revision&) -> std::string;

/// Decodes a bundle and verifies all its hashes; fails with `ConfigurationInvalid`.
auto decodeBundle(std::string_view) -> leaf::result<std::shared_ptr<const config_revision>>;

} // namespace gypsumhub
