#include "gypsumhub/fleet/fleet_metric.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    auto numberOf(result_code code) -> std::string
    {
        return std::to_string(static_cast<unsigned>(code));
    }

    auto addGauge(std::vector<fleet_metric>& figures, std::string_view name, std::string_view help, double value) -> void
    {
        figures.push_back({ name, help, value, true });
    }

    auto addCounter(std::vector<fleet_metric>& figures, std::string_view name, std::string_view help, uint64_t value) -> void
    {
        figures.push_back({ name, help, static_cast<double>(value) });
    }

    // A counter of refusals, one for each result code.
    auto addRefusals(std::vector<fleet_metric>& figures, std::string_view name, std::string_view help, result_code code, uint64_t value) -> void
    {
        figures.push_back({ name, help, static_cast<double>(value), false, { { "code", numberOf(code) } } });
    }

    auto addMembers(std::vector<fleet_metric>& figures, const membership& members) -> void
    {
        constexpr auto stateNames = std::array<const char*, 4> { "alive", "suspected", "stopping", "dead" };
        auto counts = std::array<double, 4> {};
        for (auto& entry : members.table().members())
            ++counts[static_cast<std::size_t>(entry.state)];
        for (auto state = std::size_t { 0 }; state < counts.size(); ++state)
            figures.push_back({ "fleet_nodes", "Registered nodes by what this node believes of them.", counts[state], true, { { "state", stateNames[state] } } });
        auto& totals = members.counts();
        addGauge(figures, "fleet_isolated", "1 while this node hears no other.", members.isIsolated());
        addCounter(figures, "fleet_probes_total", "Liveness probes sent.", totals.probes);
        addCounter(figures, "fleet_indirect_probes_total", "Probes that others were asked for.", totals.indirectProbes);
        addCounter(figures, "fleet_suspicions_total", "Nodes that this node accused.", totals.suspicions);
        addCounter(figures, "fleet_deaths_total", "Nodes that this node declared dead.", totals.deaths);
        addCounter(figures, "fleet_refutations_total", "Accusations of this node that it refuted.", totals.refutations);
        addCounter(figures, "fleet_pauses_total", "Pauses of this process that it noticed.", totals.pauses);
    }

    auto addSpreading(std::vector<fleet_metric>& figures, const spreader_counts& counts) -> void
    {
        constexpr auto refusedHelp = "Revisions of peers that do not continue the one in force.";
        addCounter(figures, "config_adopted_from_peers_total", "Revisions taken from peers.", counts.adopted);
        addCounter(figures, "config_requests_total", "Requests to peers for revisions.", counts.requests);
        addCounter(figures, "config_transfers_resumed_total", "Transfers that went on with another peer.", counts.resumed);
        addRefusals(figures, "config_refused_total", refusedHelp, result_code::ConfigurationForked, counts.refusedForked);
        addRefusals(figures, "config_refused_total", refusedHelp, result_code::ConfigurationRolledBack, counts.refusedRolledBack);
        addRefusals(figures, "config_refused_total", refusedHelp, result_code::ConfigurationInvalid, counts.refusedInvalid);
    }

} // namespace

auto fleetMetrics(const fleet_node& node, const revision_id& inForce, time_point now) -> std::vector<fleet_metric>
{
    auto figures = std::vector<fleet_metric> {};
    addGauge(figures, "fleet_ready", "1 when membership and configuration are known and not old.", node.isReady());
    addGauge(figures, "config_revision", "Number of the revision in force; 0 for none.", static_cast<double>(inForce.number));
    addGauge(figures, "config_store_reader", "1 while this node reads the store.", node.shouldReadStore(now));
    addMembers(figures, node.members());
    addSpreading(figures, node.replicator().counts());
    return figures;
}

auto peerMetrics(const peer_transport_counts& counts, const control_meter& meter) -> std::vector<fleet_metric>
{
    constexpr auto refusedHelp = "Frames of peers that were refused.";
    auto figures = std::vector<fleet_metric> {};
    addCounter(figures, "peer_frames_sent_total", "Frames sent to peers.", counts.framesSent);
    addCounter(figures, "peer_messages_received_total", "Messages received from peers.", counts.messagesReceived);
    addCounter(figures, "peer_connections_opened_total", "Connections with peers that were authenticated.", counts.connectionsOpened);
    addCounter(figures, "peer_connections_failed_total", "Attempts to connect to peers that failed.", counts.connectionsFailed);
    addCounter(figures, "peer_messages_dropped_total", "Messages that waited too long or found a full queue.", counts.messagesDropped);
    addRefusals(figures, "peer_frames_refused_total", refusedHelp, result_code::PeerUnauthenticated, counts.refusedUnauthenticated);
    addRefusals(figures, "peer_frames_refused_total", refusedHelp, result_code::PeerFrameInvalid, counts.refusedInvalid);
    addRefusals(figures, "peer_frames_refused_total", refusedHelp, result_code::PeerFrameReplayed, counts.refusedReplayed);
    for (auto lane = std::size_t { 0 }; lane < peerDistanceCount; ++lane) {
        auto distance = static_cast<peer_distance>(lane);
        auto distanceName = std::string(toString(distance));
        for (auto kind = std::size_t { 0 }; kind < peerMessageKindCount; ++kind) {
            auto bytes = static_cast<double>(meter.bytes(kind, distance));
            figures.push_back({ "control_bytes_total", "Bytes of messages to peers.", bytes, false, { { "kind", std::string(peerMessageKindName(kind)) }, { "distance", distanceName } } });
        }
        auto overhead = static_cast<double>(meter.overheadBytes(distance));
        figures.push_back({ "control_overhead_bytes_total", "Bytes of seals, headers and calls around messages.", overhead, false, { { "distance", distanceName } } });
    }
    return figures;
}

} // namespace gypsumhub
