#pragma once

#include "gypsumhub/decision/request/request_state.h"
#include "gypsumhub/decision/routing_snapshot.h"

namespace gypsumhub {

/// When an attempt that was sent at `sentAt` and has no answer may be hedged, or `never` when the service's rules or the
/// request forbid it.
auto hedgeAt(const service_view&, const request_state&, time_point sentAt) -> time_point;

/// Decides at `now` whether to start a second attempt beside the running one, and takes it from the budget. A hedge never
/// waits for a slot, so it is only worth starting when one is free.
auto mayHedgeNow(const service_view&, const request_state&, time_point sentAt, time_point now, retry_budget&) -> bool;

} // namespace gypsumhub
