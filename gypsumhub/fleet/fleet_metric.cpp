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

    // Adds a counter of refusals with the given result code.
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
            metrics.push_back({ "fleet_nodes", "Registered nodes by their state in this node's view.", counts[state], true, { { "state", stateNames[state] } } });
        auto& totals = members.counts();
        addGauge(metrics, "fleet_isolated", "1 while this node is isolated: it receives neither pings nor answers from other nodes.", members.isIsolated());
        addCounter(metrics, "fleet_probes_total", "Liveness probes sent.", totals.probes);
        addCounter(metrics, "fleet_indirect_probes_total", "Indirect probes requested from other nodes.", totals.indirectProbes);
        addCounter(metrics, "fleet_suspicions_total", "Nodes that this node suspected after failed probes.", totals.suspicions);
        addCounter(metrics, "fleet_deaths_total", "Nodes that this node declared dead.", totals.deaths);
        addCounter(metrics, "fleet_refutations_total", "False claims about this node that it refuted.", totals.refutations);
        addCounter(metrics, "fleet_pauses_total", "Detected pauses of this process.", totals.pauses);
    }

    auto addReplication(std::vector<fleet_metric>& metrics, const replicator_counts& counts) -> void
    {
        constexpr auto refusedHelp = "Revisions of peers that were refused, by result code.";
        addCounter(metrics, "config_adopted_from_peers_total", "Revisions downloaded from peers and put in force.", counts.adopted);
        addCounter(metrics, "config_requests_total", "Requests for revision parts sent to peers.", counts.requests);
        addCounter(metrics, "config_transfers_resumed_total", "Transfers resumed with another peer.", counts.resumed);
        addRefusals(metrics, "config_refused_total", refusedHelp, result_code::ConfigurationForked, counts.refusedForked);
        addRefusals(metrics, "config_refused_total", refusedHelp, result_code::ConfigurationRolledBack, counts.refusedRolledBack);
        addRefusals(metrics, "config_refused_total", refusedHelp, result_code::ConfigurationInvalid, counts.refusedInvalid);
    }

} // namespace

auto fleetMetrics(const fleet_node& node, const revision_id& inForce, time_point now) -> std::vector<fleet_metric>
{
    auto metrics = std::vector<fleet_metric> {};
    addGauge(metrics, "fleet_ready", "1 when membership and configuration are known and not stale.", node.isReady());
    addGauge(metrics, "config_revision", "Number of the revision in force; 0 for none.", static_cast<double>(inForce.number));
    addGauge(metrics, "config_store_reader", "1 while this node should read the store.", node.shouldReadStore(now));
    addMembers(metrics, node.members());
    addReplication(metrics, node.replicator().counts());
    return metrics;
}

auto peerMetrics(const peer_transport_counts& counts, const control_meter& meter) -> std::vector<fleet_metric>
{
    constexpr auto refusedHelp = "Frames of peers that were refused, by result code.";
    auto metrics = std::vector<fleet_metric> {};
    addCounter(metrics, "peer_frames_sent_total", "Frames sent to peers.", counts.framesSent);
    addCounter(metrics, "peer_messages_received_total", "Messages received from peers.", counts.messagesReceived);
    addCounter(metrics, "peer_connections_opened_total", "Authenticated connections with peers.", counts.connectionsOpened);
    addCounter(metrics, "peer_connections_failed_total", "Failed attempts to connect to a peer.", counts.connectionsFailed);
    addCounter(metrics, "peer_messages_dropped_total", "Messages dropped because they waited too long or a queue was full.", counts.messagesDropped);
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
        metrics.push_back({ "control_overhead_bytes_total", "Overhead bytes of frames and calls around messages.", overhead, false, { { "distance", distanceName } } });
    }
    return metrics;
}

} // namespace gypsumhub
