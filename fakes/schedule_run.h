#pragma once

#include "fakes/schedule_result.h"
#include "fakes/schedule_router.h"

namespace gypsumhub {

/// The request policy that a simulated node applies.
enum class request_policy : uint8_t {
    /// The policy of the proxy: `request_state`, `retry_budget` and `admission_queue`.
    Product,
    /// Up to three attempts for each failure, no queue, no retry budget, and "not run" for every failure.
    Naive,
};

/// Runs a schedule in virtual time against a router. Deterministic: the same input gives the same result.
auto runSchedule(const schedule&, schedule_router&, request_policy) -> schedule_result;

/// Runs a schedule with the routing and request policy of the proxy.
auto runProduct(const schedule&) -> schedule_result;

/// Runs a schedule with the naive routing and request policy.
auto runNaive(const schedule&) -> schedule_result;

} // namespace gypsumhub
