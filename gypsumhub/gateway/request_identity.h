#pragma once

#include "gypsumhub/decision/selection/crash_report.h"
#include "gypsumhub/proxy/request_reader.h"

#include <string_view>

namespace gypsumhub {

/// The fingerprints of a request from a caller at this IP address, the same on every node. They cover host, method, path, query,
/// credentials and body, but neither the request's id nor its other header fields.
auto identityOf(const inbound_message&, std::string_view callerAddress) -> request_identity;

/// The fingerprint as 32 hexadecimal digits, as in log lines.
auto toString(const request_fingerprint&) -> std::string;

} // namespace gypsumhub
