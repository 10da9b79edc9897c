#include "gypsumhub/main/node_report.h"

#include "gypsumhub/decision/health_state.h"

#include <string>

namespace gypsumhub {

namespace {

    // A metric without labels and the counter that it shows.
    struct plain_counter_row {
        std::string_view name;
        std::string_view help;
        proxy_counters::counter proxy_counters::*member;
        bool gauge { false };
    };

    const plain_counter_row plainCounters[] = {
        { "caller_connections_total", "Connections accepted from callers.", &proxy_counters::connectionsAccepted },
        { "caller_connections_evicted_total", "Connections of callers closed so that new ones could be accepted.", &proxy_counters::connectionsEvicted },
        { "caller_connections", "Open connections of callers.", &proxy_counters::connectionsOpen, true },
        { "requests_in_flight", "Requests in progress.", &proxy_counters::requestsInFlight, true },
        { "nodes_answers_total", "Answers with the nodes that serve a service.", &proxy_counters::nodesAnswers },
        { "peer_hops_total", "Requests forwarded to a member of the serving group.", &proxy_counters::peerHops },
        { "retries_total", "Attempts after the first attempt of a request.", &proxy_counters::retries },
        { "target_connections_opened_total", "New connections to targets.", &proxy_counters::targetConnectionsOpened },
        { "target_connections_reused_total", "Exchanges on a reused connection.", &proxy_counters::targetConnectionsReused },
        { "target_connections_stale_total", "Idle connections found expired or closed before reuse.", &proxy_counters::targetConnectionsStale },
        { "streamed_answers_total", "Answers streamed because they were too large to buffer.", &proxy_counters::streamedAnswers },
        { "streamed_answers_cut_total", "Streamed answers that ended with a connection reset.", &proxy_counters::streamedAnswersCut },
        { "request_microseconds_total", "Total time from receiving a request to having its answer.", &proxy_counters::requestMicroseconds },
    };

    auto addServiceMetrics(metric_set& metrics, const service_view& view) -> void
    {
        auto report = reportService(view);
        auto name = std::string_view(view.spec->name);
        metrics.addGauge("service_targets_registered", "Targets listed in the register.", report.registered, { { "service", name } });
        metrics.addGauge("service_targets_in_rotation", "Targets that may receive requests.", report.inRotation, { { "service", name } });
        metrics.addGauge("service_targets_demoted", "Targets that receive fewer requests.", report.demoted, { { "service", name } });
        metrics.addGauge("service_targets_on_trial", "Targets on trial before they return to full load; they receive few requests, all idempotent.", report.trial, { { "service", name } });
        metrics.addGauge("service_in_flight", "Requests of this node in progress at targets.", report.inFlight, { { "service", name } });
        metrics.addGauge("service_served_here", "1 if this node belongs to the serving group.", view.servedHere, { { "service", name } });
    }

} // namespace

auto reportService(const service_view& view) -> service_report
{
    auto report = service_report {};
    report.registered = static_cast<uint32_t>(view.spec->targets.size());
    report.inRotation = static_cast<uint32_t>(view.targets.size());
    for (auto& target : view.targets) {
        report.demoted += target.state == health_state::Demoted;
        report.trial += target.state == health_state::Trial;
        report.inFlight += target.load->inFlight.load(std::memory_order_relaxed);
    }
    return report;
}

auto servicesJson(const routing_snapshot& snapshot) -> boost::json::object
{
    auto services = boost::json::object {};
    for (auto& view : snapshot.services) {
        auto report = reportService(view);
        auto entry = boost::json::object {};
        entry["servedHere"] = view.servedHere;
        entry["groupMembers"] = view.group.size();
        entry["floorPercent"] = view.spec->rules.floorPercent;
        entry["registered"] = report.registered;
        entry["inRotation"] = report.inRotation;
        entry["demoted"] = report.demoted;
        entry["trial"] = report.trial;
        entry["inFlight"] = report.inFlight;
        services[view.spec->name] = std::move(entry);
    }
    return services;
}

auto addProxyMetrics(metric_set& metrics, const proxy_counters& counters) -> void
{
    for (auto& row : plainCounters) {
        auto value = static_cast<double>((counters.*row.member).load(std::memory_order_relaxed));
        if (row.gauge)
            metrics.addGauge(row.name, row.help, value);
        else
            metrics.addCounter(row.name, row.help, value);
    }
    for (auto& row : resultCodeTable()) {
        auto number = static_cast<size_t>(row.code);
        auto count = counters.results[number].load(std::memory_order_relaxed);
        if (count)
            metrics.addCounter("results_total", "Finished requests, by result code and outcome.", static_cast<double>(count),
                { { "code", std::to_string(number) }, { "name", row.name }, { "outcome", toString(row.outcome) } });
    }
    for (auto number = size_t { 0 }; number <= static_cast<size_t>(attempt_result::Cancelled); ++number) {
        auto count = static_cast<double>(counters.attempts[number].load(std::memory_order_relaxed));
        auto name = toString(static_cast<attempt_result>(number));
        metrics.addCounter("attempts_total", "Reports about exchanges with targets, by result.", count, { { "result", name } });
    }
}

auto addFleetMetrics(metric_set& metrics, std::span<const fleet_metric> fleetMetrics) -> void
{
    for (auto& row : fleetMetrics) {
        auto labels = metric_set::labels {};
        for (auto& [name, text] : row.labels)
            labels.emplace_back(name, text);
        if (row.isGauge)
            metrics.addGauge(row.name, row.help, row.value, labels);
        else
            metrics.addCounter(row.name, row.help, row.value, labels);
    }
}

auto addDecisionMetrics(metric_set& metrics, const routing_snapshot& snapshot, const decision_driver& driver) -> void
{
    auto revision = snapshot.config ? snapshot.config->revision.number : 0;
    metrics.addGauge("configuration_revision", "Revision number of the configuration in force.", static_cast<double>(revision));
    metrics.addCounter("snapshots_total", "Routing snapshots published.", static_cast<double>(snapshot.version));
    for (auto& view : snapshot.services)
        addServiceMetrics(metrics, view);
    auto& changes = driver.stateChanges();
    for (auto state = size_t { 0 }; state < changes.size(); ++state) {
        auto name = toString(static_cast<health_state>(state));
        metrics.addCounter("target_state_changes_total", "State changes of targets, by new state.", static_cast<double>(changes[state]), { { "to", name } });
    }
}

} // namespace gypsumhub
