#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/time_point.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gypsumhub {

/// A caller's query to the directory: which nodes serve a host.
struct directory_query {
    std::string host;
    /// The caller's own data centre.
    std::string dataCentre;
};

/// Parses the query in a request target. Returns nullopt for another path or a target without a query.
auto readDirectoryQuery(std::string_view target) -> std::optional<directory_query>;

/// Formats the body of a directory answer. `lifetime` is how long the caller may cache it.
auto formatDirectoryAnswer(std::span<const endpoint>, duration lifetime) -> std::string;

} // namespace gypsumhub
