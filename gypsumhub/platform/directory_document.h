#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/time_point.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gypsumhub {

/// What a caller asks the directory.
struct directory_query {
    std::string host;
    /// The caller's own data centre.
    std::string dataCentre;
};

/// The question in a request target, or nothing when it asks something else.
auto readDirectoryQuery(std::string_view target) -> std::optional<directory_query>;

/// The body of an answer. `lifetime` is how long the caller may keep it.
auto formatDirectoryAnswer(std::span<const endpoint>, duration lifetime) -> std::string;

} // namespace gypsumhub
