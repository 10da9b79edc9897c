#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/fault.h"

#include <string>
#include <string_view>

namespace gypsumhub {

/// Reads one path of a running node's admin server, within five seconds. Fails with `PeerUnreachable`, or with
/// `UsageError` when the node answers 404.
auto fetchFromNode(const endpoint&, std::string_view path) -> leaf::result<std::string>;

} // namespace gypsumhub
