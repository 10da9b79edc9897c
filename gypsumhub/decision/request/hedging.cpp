#include "gypsumhub/decision/request/hedging.h"

#include "gypsumhub/decision/request/target_chooser.h"

namespace gypsumhub {

auto hedgeAt(const service_view& service, const request_state& request, time_point sentAt) -> time_point
{
    if (!service.spec->rules.hedging || !request.mayHedge())
        return never;
    return sentAt + service.overdueAfter;
}

auto mayHedgeNow(const service_view& service, const request_state& request, time_point sentAt, time_point now, retry_budget& budget)
    -> bool
{
    if (now < hedgeAt(service, request, sentAt))
        return false;
    // Hedging helps against a slow target and not against a slow service: when most slots are in use, it only adds load.
    if (freeSlots(service) * 2 < totalSlots(service))
        return false;
    // The hedge needs as much remaining time as an ordinary attempt takes.
    if (now + service.overdueAfter >= request.deadline())
        return false;
    return budget.take(now);
}

} // namespace gypsumhub
