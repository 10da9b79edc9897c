#pragma once

#include <boost/json/object.hpp>
#include <glog/logging.h>
#include <string_view>

namespace gypsumhub {

/// Logs one event with its fields; the JSON log line carries them under `fields`. Event names: docs/OPERATORS.md.
auto logEvent(google::LogSeverity, std::string_view event, boost::json::object fields) -> void;

} // namespace gypsumhub
