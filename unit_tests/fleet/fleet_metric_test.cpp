#include "gypsumhub/fleet/fleet_metric.h"

#include "fakes/fake_network_fleet.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("the figures name the state of the fleet and count control bytes by kind and distance")
{
    auto fleet = fake_network_fleet({});
    fleet.network.measureBytes([&](node_key a, node_key b) { return fleet.distance(a, b); });
    fleet.network.runFor(seconds(10));
    fleet.kill({ 40 });
    fleet.network.runFor(seconds(15));
    auto& end = *fleet.ends[{ 1 }];
    auto valueOf = [](const std::vector<fleet_metric>& figures, std::string_view name, std::string_view label) {
        auto matches = [&](const fleet_metric& figure) {
            return figure.name == name && (label.empty() || std::ranges::any_of(figure.labels, [&](auto& pair) { return pair.second == label; }));
        };
        auto found = std::ranges::find_if(figures, matches);
        REQUIRE(found != figures.end());
        return found->value;
    };
    auto figures = fleetMetrics(end.node, end.source.current(), fleet.network.now());
    CHECK(valueOf(figures, "fleet_nodes", "alive") == 39);
    CHECK(valueOf(figures, "fleet_nodes", "dead") == 1);
    CHECK(valueOf(figures, "fleet_ready", "") == 1);
    CHECK(valueOf(figures, "config_revision", "") == 1);

    auto peers = peerMetrics({ .refusedReplayed = 3 }, fleet.network.meter());
    CHECK(valueOf(peers, "peer_frames_refused_total", "703") == 3);
    CHECK(valueOf(peers, "control_bytes_total", "ping") > 0);
    CHECK(valueOf(peers, "control_overhead_bytes_total", "other-region") > 0);
}

} // namespace gypsumhub
