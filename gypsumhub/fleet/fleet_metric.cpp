#include "gypsumhub/fleet/fleet_metric.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    auto numberOf(result_code code) -> std::string
    {
        return std::to_string(static_cast<unsigned>(code));
    }

    auto addGauge(std::vector<fleet_metric>& metrics, std::string_view name, std::string_view help, double value) -> void
    {
        metrics.push_back({ name, help, value, true });
    }

    auto addCounter(std::vector<fleet_metric>& metrics, std::string_view name, std::string_view help, uint64_t value) -> void
    {
        metrics.push_back({ name, help, static_cast<double>(value) });
    }

    // A counter of refusals, one for each result code.
    auto addRefusals(std::vector<fleet_metric>& metrics, std::string_view name, std::string_view help, result_code code, uint64_t value) -> void
    {
        metrics.push_back({ name, help, static_cast<double>(value), false, { { "code", numberOf(code) } } });
    }

    auto addMembers(std::vector<fleet_metric>& metrics, const membership& members) -> void
    {
        constexpr auto stateNames = std::array<const char*, 4> { "alive", "suspected", "stopping", "dead" };
        auto counts = std::array<double, 4> {};
        for (auto& entry : members.table().members())
            ++counts[static_cast<std::size_t>(entry.state)];
        for (auto state = std::size_t { 0 }; state < counts.size(); ++state)
            metrics.push_back({ "fleet_nodes", "Registered nodes by what this node believes of them.", counts[state], true, { { "state", stateNames[state] } } });
        auto& totals = members.counts();
        addGauge(metrics, "fleet_isolated", "1 while this node hears no other.", members.isIsolated());
        addCounter(metrics, "fleet_probes_total", "Liveness probes sent.", totals.probes);
        addCounter(metrics, "fleet_indirect_probes_total", "Probes that others were asked for.", totals.indirectProbes);
        addCounter(metrics, "fleet_suspicions_total", "Nodes that this node accused.", totals.suspicions);
        addCounter(metrics, "fleet_deaths_total", "Nodes that this node declared dead.", totals.deaths);
        addCounter(metrics, "fleet_refutations_total", "Accusations of this node that it refuted.", totals.refutations);
        addCounter(metrics, "fleet_pauses_total", "Pauses of this process that it noticed.", totals.pauses);
    }

    auto addReplication(std::vector<fleet_metric>& metrics, const replicator_counts& counts) -> void
    {
        constexpr auto refusedHelp = "Revisions of peers that do not continue the one in force.";
        addCounter(metrics, "config_adopted_from_peers_total", "Revisions taken from peers.", counts.adopted);
        addCounter(metrics, "config_requests_total", "Requests to peers for revisions.", counts.requests);
        addCounter(metrics, "config_transfers_resumed_total", "Transfers that went on with another peer.", counts.resumed);
        addRefusals(metrics, "config_refused_total", refusedHelp, result_code::ConfigurationForked, counts.refusedForked);
        addRefusals(metrics, "config_refused_total", refusedHelp, result_code::ConfigurationRolledBack, counts.refusedRolledBack);
        addRefusals(metrics, "config_refused_total", refusedHelp, result_code::ConfigurationInvalid, counts.refusedInvalid);
    }

} // namespace

auto fleetMetrics(const fleet_node& node, const revision_id& inForce, time_point now) -> std::vector<fleet_metric>
{
    auto metrics = std::vector<fleet_metric> {};
    addGauge(metrics, "fleet_ready", "1 when membership and configuration are known and not old.", node.isReady());
    addGauge(metrics, "config_revision", "Number of the revision in force; 0 for none.", static_cast<double>(inForce.number));
    addGauge(metrics, "config_store_reader", "1 while this node reads the store.", node.shouldReadStore(now));
    addMembers(metrics, node.members());
    addReplication(metrics, node.replicator().counts());
    return metrics;
}

auto peerMetrics(const peer_transport_counts& counts, const control_meter& meter) -> std::vector<fleet_metric>
{
    constexpr auto refusedHelp = "Frames of peers that were refused.";
    auto metrics = std::vector<fleet_metric> {};
    addCounter(metrics, "peer_frames_sent_total", "Frames sent to peers.", counts.framesSent);
    addCounter(metrics, "peer_messages_received_total", "Messages received from peers.", counts.messagesReceived);
    addCounter(metrics, "peer_connections_opened_total", "Connections with peers that were authenticated.", counts.connectionsOpened);
    addCounter(metrics, "peer_connections_failed_total", "Attempts to connect to peers that failed.", counts.connectionsFailed);
    addCounter(metrics, "peer_messages_dropped_total", "Messages that waited too long or found a full queue.", counts.messagesDropped);
    addRefusals(metrics, "peer_frames_refused_total", refusedHelp, result_code::PeerUnauthenticated, counts.refusedUnauthenticated);
    addRefusals(metrics, "peer_frames_refused_total", refusedHelp, result_code::PeerFrameInvalid, counts.refusedInvalid);
    addRefusals(metrics, "peer_frames_refused_total", refusedHelp, result_code::PeerFrameReplayed, counts.refusedReplayed);
    for (auto distanceIndex = std::size_t { 0 }; distanceIndex < peerDistanceCount; ++distanceIndex) {
        auto distance = static_cast<peer_distance>(distanceIndex);
        auto distanceName = std::string(toString(distance));
        for (auto kind = std::size_t { 0 }; kind < peerMessageKindCount; ++kind) {
            auto bytes = static_cast<double>(meter.bytes(kind, distance));
            metrics.push_back({ "control_bytes_total", "Bytes of messages to peers.", bytes, false, { { "kind", std::string(peerMessageKindName(kind)) }, { "distance", distanceName } } });
        }
        auto overhead = static_cast<double>(meter.overheadBytes(distance));
        metrics.push_back({ "control_overhead_bytes_total", "Bytes of seals, headers and calls around messages.", overhead, false, { { "distance", distanceName } } });
    }
    return metrics;
}

} // namespace gypsumhub
