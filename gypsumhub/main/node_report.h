#pragma once

#include "gypsumhub/decision/routing_snapshot.h"
#include "gypsumhub/fleet/fleet_metric.h"
#include "gypsumhub/main/decision_driver.h"
#include "gypsumhub/operator/metric_set.h"
#include "gypsumhub/proxy/proxy_counters.h"

#include <boost/json/object.hpp>
#include <span>

namespace gypsumhub {

/// Numbers of targets of one service by health state, and of requests in flight.
struct service_report {
    uint32_t registered { 0 };
    uint32_t inRotation { 0 };
    uint32_t demoted { 0 };
    uint32_t trial { 0 };
    uint32_t inFlight { 0 };
};

/// Counts the targets of one service in the snapshot.
auto reportService(const service_view&) -> service_report;

/// Makes the object `services` of the status, with one object per service name.
auto servicesJson(const routing_snapshot&) -> boost::json::object;

/// Adds the metrics of the request path.
auto addProxyMetrics(metric_set&, const proxy_counters&) -> void;

/// Adds the metrics of membership, configuration and peers.
auto addFleetMetrics(metric_set&, std::span<const fleet_metric>) -> void;

/// Adds the metrics of the current snapshot and of target state changes.
auto addDecisionMetrics(metric_set&, const routing_snapshot&, const decision_driver&) -> void;

} // namespace gypsumhub
