#include "gypsumhub/core/clock.h"
#include "gypsumhub/gateway/gateway_node.h"
#include "gypsumhub/operator/metric_set.h"

#include <limits>

namespace gypsumhub {

namespace {

    // A histogram with its metric name and help text.
    struct histogram_row {
        const char* name;
        const char* help;
        latency_histogram gateway_counters::*value;
    };

    constexpr auto histograms = std::to_array<histogram_row>({
        { "wait_seconds", "From the arrival of a request to its placement.", &gateway_counters::queueingDelay },
        { "work_seconds", "From sending a request to a target to the end of the exchange.", &gateway_counters::responseTime },
        { "request_seconds", "From the arrival of a request to its answer.", &gateway_counters::totalTime },
    });

    // A sound target without work for this long counts as unused.
    constexpr auto idleTargetTime = seconds(2);

    auto addHistogram(metric_set& metrics, const histogram_row& row, const latency_histogram& histogram) -> void
    {
        auto name = std::string(row.name);
        auto total = uint64_t { 0 };
        for (auto index = size_t { 0 }; index < histogram.counts().size(); ++index) {
            total += histogram.counts()[index];
            auto isLast = index == latency_histogram::bounds.size();
            auto bound = isLast ? std::string("+Inf") : std::to_string(static_cast<double>(latency_histogram::bounds[index]) * 1e-3);
            metrics.addCounter(name + "_bucket", row.help, static_cast<double>(total), { { "le", bound } });
        }
        metrics.addCounter(name + "_sum", row.help, histogram.sum().seconds());
        metrics.addCounter(name + "_count", row.help, static_cast<double>(total));
    }

} // namespace

auto formatGatewayMetrics(gateway_context& context, uint64_t storeCalls) -> std::string
{
    auto now = bootClockNow();
    auto metrics = metric_set {};
    for (auto& row : counterTable())
        metrics.addCounter(row.name, row.help, static_cast<double>(context.counters.*row.value));
    for (auto& row : histograms)
        addHistogram(metrics, row, context.counters.*row.value);
    metrics.addCounter("store_calls_total", "Calls to the store.", static_cast<double>(storeCalls));
    metrics.addGauge("store_era", "Era of the store; rises when it comes back from an older copy.", static_cast<double>(context.storeEra));
    for (auto& [purpose, count] : context.counters.storeCalls)
        metrics.addCounter("store_calls_by_purpose_total", "Calls to the store; a listing in several pages counts once.", static_cast<double>(count), { { "purpose", purpose } });
    for (auto& [prefix, count] : context.counters.peerListings)
        metrics.addCounter("peer_listings_total", "Listings requested from other nodes.", static_cast<double>(count), { { "prefix", prefix } });
    metrics.addCounter("log_lines_dropped_total", "Log lines dropped by the rate limit, by sampling or because the reader was too slow.", static_cast<double>(context.log.dropped()));
    metrics.addGauge("start_seconds", "From the start of the node until it was ready; 0 before.", context.counters.startTime.seconds());
    metrics.addGauge("configuration_version", "Version of the configuration in force.", context.routes ? static_cast<double>(context.routes->version()) : 0);
    if (context.needsConfirmation())
        metrics.addGauge("confirmation_age_seconds", "Time since the configuration in force was known to be the newest in the store; +Inf if it never was.", context.confirmationAge(now) == unconfirmedAge ? std::numeric_limits<double>::infinity() : context.confirmationAge(now).seconds());
    metrics.addGauge("registrations_age_seconds", "Time since the registrations were last known to match the store.", (bootClockNow() - context.viewConfirmedAt).seconds());
    for (auto& [service, monitor] : context.paths)
        metrics.addGauge("target_paths_lost", "1 while the node has lost its network paths to all targets of the service.", monitor.areLost() ? 1 : 0, { { "service", service } });
    metrics.addGauge("buffered_bytes", "Memory of requests and answers that are being received or wait to be sent.", static_cast<double>(context.buffers.used()));
    metrics.addGauge("buffered_bytes_limit", "Greatest value of buffered_bytes.", static_cast<double>(context.buffers.limit()));
    metrics.addCounter("buffer_refusals_total", "Times that received bytes exceeded buffered_bytes_limit.", static_cast<double>(context.buffers.refusals()));
    metrics.addGauge("open_requests", "Requests not answered yet.", context.openRequests);
    metrics.addGauge("idle_target_connections", "Idle connections to targets.", static_cast<double>(context.connections.size()));
    metrics.addGauge("quarantined_requests", "Requests that are not sent to targets since they crash them.", static_cast<double>(context.poisonRequests.quarantinedCount()));
    metrics.addGauge("known_target_crashes", "Crashes of targets that are kept to find the requests that caused them.", static_cast<double>(context.poisonRequests.crashCount()));
    metrics.addGauge("leaving_targets", "Targets that get no requests since they stated in an answer that they are leaving.", static_cast<double>(context.balancer.leavingTargets().count(now)));
    metrics.addGauge("limited_targets", "Targets that state a limit on their request rate.", static_cast<double>(context.balancer.limits().count()));
    if (context.settings.selection.fewSlots > 0) {
        auto& costs = context.balancer.costs();
        metrics.addGauge("cost_keys", "Keys by which the cost of requests is learned.", static_cast<double>(costs.keyCount()));
        metrics.addCounter("cost_keys_evicted_total", "Keys of the learned cost that were removed to make room.", static_cast<double>(costs.evictions()));
        for (auto& [service, dispatcher] : context.dispatchers)
            metrics.addGauge("cost_error_factor", "Mean factor by which the learned cost of a request differs from its time at the target; 1 without samples.", costs.meanErrorFactor(service), { { "service", service } });
    }
    for (auto& [customer, counts] : context.counters.customers) {
        metrics.addCounter("customer_admitted_total", "Requests of customers with a limit that were within it.", static_cast<double>(counts.admitted), { { "customer", customer } });
        metrics.addCounter("customer_over_limit_total", "Requests refused with 429 since the customer was over its limit.", static_cast<double>(counts.overLimit), { { "customer", customer } });
        metrics.addCounter("customer_limit_unavailable_total", "Requests refused with 503 since no node granted a credit in time.", static_cast<double>(counts.unavailable), { { "customer", customer } });
    }
    for (auto& [service, dispatcher] : context.dispatchers) {
        metrics.addGauge("waiting_requests", "Requests waiting for a target.", static_cast<double>(dispatcher->waiting()), { { "service", service } });
        auto& rates = context.balancer.model(service).rates();
        metrics.addGauge("target_failure_probability", "Learned probability that a request to a good target fails.", rates.failureRateGood, { { "service", service } });
        metrics.addGauge("target_bad_probability", "Learned long-run probability that a target is bad.", rates.stationaryProbabilityBad(), { { "service", service } });
        metrics.addGauge("idle_targets", "Targets of the node's data centre to which it has sent nothing for 2 s.", static_cast<double>(context.balancer.idleCount(service, idleTargetTime, now)), { { "service", service } });
        metrics.addGauge("requests_at_targets", "Requests in flight at targets.", dispatcher->inFlight(), { { "service", service } });
    }
    return metrics.toText();
}

} // namespace gypsumhub
