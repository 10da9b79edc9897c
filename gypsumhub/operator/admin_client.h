#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/fault.h"

#include <string>
#include <string_view>

namespace gypsumhub {

/// Sends a GET request for one path to the admin server of a running node and returns the response body. Blocks for up to five
/// seconds. Fails with `PeerUnreachable` when the exchange fails, or with `UsageError` when the node answers 404.
auto fetchFromNode(const endpoint&, std::string_view path) -> leaf::result<std::string>;

} // namespace gypsumhub
