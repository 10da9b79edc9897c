#pragma once

#include "gypsumhub/fleet/control_meter.h"
#include "gypsumhub/fleet/fleet_node.h"
#include "gypsumhub/fleet/peer_transport_settings.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumhub {

/// One figure of the fleet layer for metrics and `status`.
struct fleet_metric {
    /// In snake case; counters end in `_total`.
    std::string_view name;
    std::string_view help;
    double value { 0 };
    bool isGauge { false };
    /// Names and values of the labels.
    std::vector<std::pair<std::string_view, std::string>> labels {};
};

/// Figures of membership and configuration. To be called where the node lives.
auto fleetMetrics(const fleet_node&, const revision_id& inForce, time_point now) -> std::vector<fleet_metric>;

/// Figures of the transport and of control bytes by kind and distance. Any thread.
auto peerMetrics(const peer_transport_counts&, const control_meter&) -> std::vector<fleet_metric>;

} // namespace gypsumhub
