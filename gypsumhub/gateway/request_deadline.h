#pragma once

#include "gypsumhub/config/route_table.h"
#include "gypsumhub/proxy/request_reader.h"

#include <optional>

namespace gypsumhub {

/// The arrival of a request plus the time that its caller waits, or nullopt if the request does not state it.
auto statedDeadline(const http::request_header<>&, time_point arrivedAt) -> std::optional<time_point>;

/// The arrival of a request plus the timeout of its route, or the caller's own deadline if that is earlier.
auto deadlineOf(const inbound_message&, const route&, time_point arrivedAt) -> time_point;

} // namespace gypsumhub
