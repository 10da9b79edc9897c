#pragma once

#include "gypsumhub/core/fault.h"

#include <span>
#include <string>
#include <string_view>

namespace gypsumhub {

/// The log of one node: the name of the node and its lines.
struct log_source {
    std::string name;
    std::string text;
};

/// Collects the lines of one request from the logs of several nodes, sorts them by time and describes each decision, the data that it
/// was based on, the age of that data, and the cause of the end. Then lists the lines that the last node logged in the 10 s before the
/// end about the last target, its connection to the store, its configuration, its start or shutdown, and dropped log lines. Skips lines
/// that are not JSON objects with a time and an event. Fails with `UsageError` when no line has the id.
auto traceRequest(std::string_view id, std::span<const log_source>) -> leaf::result<std::string>;

/// Reads log files, each named after its node, and traces a request in them. Fails with `UsageError` when a file cannot be read.
auto traceRequestInFiles(std::string_view id, std::span<const std::string> paths) -> leaf::result<std::string>;

} // namespace gypsumhub
