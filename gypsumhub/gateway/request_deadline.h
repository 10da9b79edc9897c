#pragma once

#include "gypsumhub/config/route_table.h"
#include "gypsumhub/proxy/request_reader.h"

namespace gypsumhub {

/// The arrival of a request plus the timeout of its route, or the caller's own deadline if that is earlier.
auto deadlineOf(const inbound_message&, const route&, time_point arrivedAt) -> time_point;

} // namespace gypsumhub
