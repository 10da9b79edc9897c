#include "fakes/naive_fleet.h"
#include "fakes/schedule_core_router.h"
#include "fakes/schedule_run.h"

namespace gypsumhub {

auto runProduct(const schedule& plan) -> schedule_result
{
    auto router = schedule_core_router(plan);
    return runSchedule(plan, router, request_policy::Product);
}

auto runNaive(const schedule& plan) -> schedule_result
{
    auto router = naive_fleet(plan);
    return runSchedule(plan, router, request_policy::Naive);
}

} // namespace gypsumhub
