#pragma once

#include "gypsumhub/decision/routing_snapshot.h"
#include "gypsumhub/fleet/fleet_metric.h"
#include "gypsumhub/main/decision_driver.h"
#include "gypsumhub/operator/metric_set.h"
#include "gypsumhub/proxy/proxy_counters.h"

#include <boost/json/object.hpp>
#include <span>

namespace gypsumhub {

/// Counts of targets by what the node thinks of them, and of each service's floor.
struct service_report {
    uint32_t registered { 0 };
    uint32_t inRotation { 0 };
    uint32_t demoted { 0 };
    uint32_t trial { 0 };
    uint32_t inFlight { 0 };
};

/// Counts over the targets of one service as request threads see it.
auto reportService(const service_view&) -> service_report;

/// `services` of the status: one object a service, by name.
auto servicesJson(const routing_snapshot&) -> boost::json::object;

/// Metrics of the request path.
auto addProxyMetrics(metric_set&, const proxy_counters&) -> void;

/// Metrics of membership, configuration and peers.
auto addFleetMetrics(metric_set&, std::span<const fleet_metric>) -> void;

/// Metrics of the snapshot in force and of the decisions about targets.
auto addDecisionMetrics(metric_set&, const routing_snapshot&, const decision_driver&) -> void;

} // namespace gypsumhub
