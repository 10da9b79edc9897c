#pragma once

#include "fakes/schedule_result.h"
#include "fakes/schedule_router.h"

namespace gypsumhub {

/// Which request policy goes with a router.
enum class request_policy : uint8_t {
    /// request_state, retry_budget and admission_queue.
    Product,
    /// Three tries for anything that fails, no queue, no budget, "not run" for every failure.
    Naive,
};

/// Runs a schedule in virtual time against a router and returns what it showed. The same input gives the same figures.
auto runSchedule(const schedule&, schedule_router&, request_policy) -> schedule_result;

/// Runs a schedule against the product's decisions.
auto runProduct(const schedule&) -> schedule_result;

/// Runs a schedule against the naive version.
auto runNaive(const schedule&) -> schedule_result;

} // namespace gypsumhub
