#include "gypsumhub/gateway/gateway_counters.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto rows = std::to_array<counter_row>({
        { "requests_total", "Requests read whole.", &gateway_counters::requests },
        { "answered_total", "Requests that ended with a target's success.", &gateway_counters::answered },
        { "target_failures_total", "Requests that ended with a target's own failure.", &gateway_counters::targetFailures },
        { "refused_total", "Requests refused as not run.", &gateway_counters::refused },
        { "unknown_outcomes_total", "Requests that may have run and got no answer.", &gateway_counters::unknownOutcomes },
        { "no_route_total", "Requests without a route.", &gateway_counters::noRoute },
        { "bad_requests_total", "Requests that could not be read.", &gateway_counters::badRequests },
        { "callers_gone_total", "Callers that left before their answer.", &gateway_counters::callersDisconnected },
        { "repeats_total", "Second and later sends of a request.", &gateway_counters::repeats },
        { "repeats_denied_total", "Repeats that the allowance denied.", &gateway_counters::retriesDenied },
        { "declined_total", "Requests that a target declined to run.", &gateway_counters::declinedByTarget },
        { "connect_failures_total", "Connections to targets that could not be opened.", &gateway_counters::connectFailures },
        { "new_connections_total", "Connections opened to targets.", &gateway_counters::newConnections },
        { "outcomes_told_total", "Outcomes told to other nodes.", &gateway_counters::outcomesSent },
        { "outcomes_heard_total", "Outcomes heard from other nodes.", &gateway_counters::outcomesReceived },
        { "store_failures_total", "Calls to the store that failed.", &gateway_counters::storeFailures },
        { "bad_datagrams_total", "Datagrams that were unreadable or from an unknown sender.", &gateway_counters::badDatagrams },
    });

} // namespace

auto latency_histogram::record(duration length) -> void
{
    auto index = std::ranges::lower_bound(bounds, length.milliseconds()) - bounds.begin();
    ++m_counts[static_cast<size_t>(index)];
    m_sum = m_sum + length;
}

auto counterTable() -> std::span<const counter_row>
{
    return rows;
}

} // namespace gypsumhub
