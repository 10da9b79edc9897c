#pragma once

#include "gypsumhub/core/fault.h"

#include <span>
#include <string>
#include <string_view>

namespace gypsumhub {

/// The log of one node.
struct log_source {
    std::string name;
    std::string text;
};

/// Puts the lines of one request from several nodes' logs in order of time and says in plain words what was decided, on what,
/// how old that was, and what ended it; then what the nodes noted about its last target and their dependencies shortly before.
/// Lines that are no JSON objects are passed over. Fails with `UsageError` when no line bears the id.
auto traceRequest(std::string_view id, std::span<const log_source>) -> leaf::result<std::string>;

/// Reads logs, each named after its node, and traces a request in them. Fails with `UsageError` when a file cannot be read.
auto traceRequestInFiles(std::string_view id, std::span<const std::string> paths) -> leaf::result<std::string>;

} // namespace gypsumhub
