#pragma once

#include <boost/json/object.hpp>
#include <glog/logging.h>
#include <string_view>

namespace gypsumhub {

/// Logs one event with its fields, which the JSON log line contains under `fields`. docs/OPERATORS.md lists the event names.
auto logEvent(google::LogSeverity, std::string_view event, boost::json::object fields) -> void;

} // namespace gypsumhub
