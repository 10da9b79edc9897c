#pragma once

#include "gypsumhub/decision/request/request_state.h"
#include "gypsumhub/decision/routing_snapshot.h"

namespace gypsumhub {

/// Earliest time of a hedge for an attempt that was sent at `sentAt` and has no answer; `never` when the service's rules or the
/// request forbid hedging.
auto hedgeAt(const service_view&, const request_state&, time_point sentAt) -> time_point;

/// Whether to start a second attempt at `now` beside the running one. Spends one retry of the budget if so. A hedge never waits
/// for a slot, so it is started only while at least half of the slots are free.
auto mayHedgeNow(const service_view&, const request_state&, time_point sentAt, time_point now, retry_budget&) -> bool;

} // namespace gypsumhub
