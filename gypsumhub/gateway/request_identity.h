#pragma once

#include "gypsumhub/decision/selection/crash_report.h"
#include "gypsumhub/proxy/request_reader.h"

#include <string_view>

namespace gypsumhub {

/// The fingerprint of a request from a caller at this IP address, the same on every node. It covers host, method, path, query and
/// body, but neither the request's id nor its other header fields.
auto fingerprintOf(const inbound_message&, std::string_view callerAddress) -> request_fingerprint;

/// The fingerprint as 32 hexadecimal digits, as in log lines.
auto toString(const request_fingerprint&) -> std::string;

} // namespace gypsumhub
