#pragma once

#include "gypsumhub/config/service_rules.h"

#include <string_view>

namespace gypsumhub {

/// Whether the rules require that a request runs at most once. `path` may contain a query. A path that matches only after
/// percent-decoding or removal of "." and ".." and empty segments counts as matching, since the target may interpret it this way.
auto isNonIdempotent(const service_rules&, std::string_view method, std::string_view path) -> bool;

} // namespace gypsumhub
