#include "gypsumhub/fleet/fleet_metric.h"

#include "fakes/fake_network_fleet.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("the metrics show the state of the fleet and count control bytes by kind and distance")
{
    auto fleet = fake_network_fleet({});
    fleet.network.measureBytes([&](node_key a, node_key b) { return fleet.distance(a, b); });
    fleet.network.runFor(seconds(10));
    fleet.kill({ 40 });
    fleet.network.runFor(seconds(15));
    auto& fleetNode = *fleet.runningNodes[{ 1 }];
    auto valueOf = [](const std::vector<fleet_metric>& metrics, std::string_view name, std::string_view label) {
        auto matches = [&](const fleet_metric& metric) {
            return metric.name == name && (label.empty() || std::ranges::any_of(metric.labels, [&](auto& pair) { return pair.second == label; }));
        };
        auto found = std::ranges::find_if(metrics, matches);
        REQUIRE(found != metrics.end());
        return found->value;
    };
    auto metrics = fleetMetrics(fleetNode.node, fleetNode.source.current(), fleet.network.now());
    CHECK(valueOf(metrics, "fleet_nodes", "alive") == 39);
    CHECK(valueOf(metrics, "fleet_nodes", "dead") == 1);
    CHECK(valueOf(metrics, "fleet_ready", "") == 1);
    CHECK(valueOf(metrics, "config_revision", "") == 1);

    auto peers = peerMetrics({ .refusedReplayed = 3 }, fleet.network.meter());
    CHECK(valueOf(peers, "peer_frames_refused_total", "703") == 3);
    CHECK(valueOf(peers, "control_bytes_total", "ping") > 0);
    CHECK(valueOf(peers, "control_overhead_bytes_total", "other-region") > 0);
}

} // namespace gypsumhub
