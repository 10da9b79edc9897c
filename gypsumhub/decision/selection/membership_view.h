#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/config/node_size.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/selection/confirmation_inquiry.h"
#include "gypsumhub/decision/selection/demand_meter.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The registration that a node writes to the store.
struct node_registration {
    std::string name;
    std::string dataCentre;
    endpoint callerAddress;
    endpoint peerAddress;
    /// The shortest duration of a call to the store. Shows which data centres are near the store.
    duration storeDelay {};
    node_size size;
};

/// The minimum that a group of nodes must reach: `nodes` members with a total size of `size`.
struct group_requirement {
    uint32_t nodes { 1 };
    node_size size;
};

/// The view age in the hello of a reader that the store does not serve. The next node takes over without waiting.
constexpr auto unservedReaderViewAge = seconds(60);

/// The configuration age in the hello of a node that does not watch the configuration in the store.
constexpr auto unwatchedConfigurationAge = seconds(60);
/// The same for a node of a build that does not state it.
constexpr auto unknownConfigurationAge = milliseconds(-1);

/// The heartbeat that a node sends to the other nodes of its data centre several times a second.
struct node_hello {
    std::string name;
    bool isReady { false };
    bool isLeaving { false };
    uint64_t configurationVersion { 0 };
    /// Digest of the node's view of the target registrations, and the time since that view was known to match the store.
    uint64_t viewDigest { 0 };
    duration viewAge;
    /// Digest of the node registrations that the node holds.
    uint64_t nodesDigest { 0 };
    /// What the callers of each host ask of the node.
    std::vector<host_demand> demands {};
    /// Hosts with a service to whose targets the node has lost its paths, at most `maxHelloHosts`.
    std::vector<std::string> lostHosts {};
    /// Time since the store last answered the node's watch on the configuration.
    duration configurationAge { unknownConfigurationAge };
    /// Age of the node's confirmation of its configuration, or `unconfirmedAge`. Serves only to choose the nodes to ask: a hello may have
    /// waited in the receiver's socket.
    duration confirmedAge { unconfirmedAge };
};

/// Bounds the size of a hello.
constexpr auto maxHelloHosts = size_t { 8 };

/// The nodes of the fleet as seen by this node. Combines their registrations with the hellos received from them to choose the
/// nodes that serve a host and the designated reader, which reads the target registrations for its data centre.
class membership_view {
public:
    /// Within this time the first node of a data centre has listed the other nodes and sent its first hellos to them.
    static constexpr auto startupGrace = milliseconds(2000);
    static constexpr auto maxPermitIssuers = size_t { 3 };

    explicit membership_view(node_registration own);

    auto recordRegistration(const node_registration&) -> void;
    /// Removes a node whose registration has ended. A node of the own data centre that still sends hellos is kept, since the store
    /// may have lost its lease.
    auto recordUnregistration(std::string_view name, time_point now) -> void;
    auto recordHello(const node_hello&, time_point now) -> void;
    auto setOwnState(bool isReady, bool isLeaving) -> void;
    auto setOwnLostHosts(std::vector<std::string> hosts) -> void { m_ownLostHosts = std::move(hosts); }
    auto setOwnDemands(std::vector<host_demand> demands) -> void { m_ownDemands = std::move(demands); }

    /// Caller addresses of the nodes of a data centre that serve a host (rendezvous hashing), the same on every node with the same
    /// view. Falls back to the nodes of all data centres when none of that one is available. Nodes that reach the required size
    /// alone precede smaller ones. Those that have lost their paths for the host are left out while there are others. In the own data centre the measured load of the host can require more than that size.
    auto group(std::string_view host, std::string_view dataCentre, const group_requirement&, time_point now) const -> std::vector<endpoint>;
    /// Whether this node is the designated reader: it reads the store itself because no other node reads for it.
    auto isReader(time_point now) const -> bool { return reader(now) == nullptr; }
    /// The latest hello of the node from which this one receives changes: the first node of the data centre with a fresh view, or,
    /// for that first node, an upstream node in a data centre that precedes this one in the distance from the store. So one node
    /// of the fleet reads the store, however many data centres there are. Null when there is none.
    auto reader(time_point now) const -> const node_hello*;
    /// Whether this node is the first of its data centre and receives changes from a node of another one.
    auto hasRemoteUpstream(time_point now) const -> bool { return !localReader(now) && remoteUpstream(now); }
    /// Whether this node watches the configuration in the store: the first two nodes of a data centre without an upstream do. When the
    /// store no longer answers them, the next nodes take over one after the other.
    auto watchesConfiguration(time_point now) const -> bool;
    /// The nodes that receive this node's hellos and changes: those of its data centre, its upstream nodes, and the nodes of other
    /// data centres that send hellos to it.
    auto recipients(time_point now) const -> std::vector<node_registration>;
    /// The nodes that receive what concerns the whole fleet: those of the own data centre, and of each other one a few that pass it
    /// on to theirs. These differ with `salt`, so that a message that is sent again reaches others.
    auto fleetRecipients(uint64_t salt) const -> std::vector<node_registration>;
    /// Names of the nodes that can issue the permits of a target, in this order (rendezvous hashing): nodes of its data centre, or of all
    /// when that one has none. The first one issues them. At most `maxPermitIssuers`.
    auto permitIssuers(std::string_view target, std::string_view dataCentre, time_point now) const -> std::vector<std::string>;
    /// The available nodes of a data centre, this one included, or those of all when it has none.
    auto availableNodes(std::string_view dataCentre, time_point now) const -> std::vector<const node_registration*>;
    /// Nodes that can send requests for a host to targets in place of this one: the active ones of its data centre that have not lost
    /// their paths, or without any those of other data centres.
    auto helpers(std::string_view host, time_point now) const -> std::vector<node_registration>;
    /// Whether a registered node accepts callers at this IP address.
    auto isNodeAddress(std::string_view address) const -> bool;
    auto localPeers() const -> std::vector<node_registration>;
    /// The nodes from which this one requests listings at startup, in this order; empty for the first node of a data centre.
    /// The nodes form a tree, so that a data centre that starts all at once overloads neither the store nor a single node.
    auto bootstrapSources() const -> std::vector<std::string>;
    /// Starts a grace period in which preceding nodes that have not sent a hello yet count as readers. Otherwise all starting
    /// nodes would read the store until the first hellos arrive.
    auto beginStartupGrace(time_point now) -> void { m_startupGraceUntil = now + startupGrace; }
    /// Whether, in that period, a preceding node of the data centre is starting as well: it sends hellos and will read the store once it is
    /// ready. Answers the load of a common start, in which otherwise every node would list the store until the first one is ready.
    auto hasStartingReader(time_point now) const -> bool;
    auto setStoreDelay(duration) -> void;
    auto own() const -> const node_registration& { return m_own; }

    /// Names of the active nodes that have a configuration of at least this version: those of the own data centre, or without any
    /// those of other data centres.
    auto configurationHolders(uint64_t version, time_point now) const -> std::vector<std::string>;
    /// All other nodes, with the ages of their confirmations by their recent hellos. Valid until a registration changes.
    auto confirmationSources(time_point now) const -> std::vector<confirmation_source>;
    auto find(std::string_view name) const -> const node_registration*;
    auto peers() const -> std::vector<node_registration>;
    /// Whether a node is registered with this peer address. Used to reject datagrams from unknown senders.
    auto isPeerAddress(std::string_view name, std::string_view address) const -> bool;

private:
    /// Another node: its registration and its latest hello.
    struct node {
        node_registration registration;
        node_hello hello;
        time_point helloReceivedAt;
        bool hasHello { false };
    };

    /// Whether the node can serve callers: for a node of the own data centre `isActive`, for others their registration alone.
    auto isAvailable(const node&, time_point now) const -> bool;
    /// Whether the node is not known to have lost its paths for the host.
    auto hasPaths(const node_registration&, std::string_view host) const -> bool;
    /// The size of the nodes that the callers of a host need together, by the recent hellos of this data centre.
    auto demandedSize(std::string_view host, time_point now) const -> node_size;
    /// Whether a recent hello of the node reports it as ready and not leaving.
    auto isActive(const node&, time_point now) const -> bool;
    /// Staleness bound: a node with an older view is not a reader for its data centre. Larger for all but the next in line, so that it
    /// takes over alone when the views of a whole fleet grow stale at the same moment.
    auto maxReaderViewAge(time_point now) const -> duration;
    /// Whether the node can read the store for others. Unlike an active node it may lack a configuration: when none can be used, one node
    /// has to read for all nevertheless.
    auto canRead(const node&, time_point now) const -> bool;
    auto hasRecentHello(const node&, time_point now) const -> bool;
    /// The number of nodes of this data centre that can read and precede this node, at most `limit`.
    auto precedingNodes(int limit, time_point now) const -> int;
    /// Whether the node reads for this data centre and precedes this node in it, by name.
    auto isPrecedingReader(const node&, duration maxViewAge, time_point now) const -> bool;
    /// The data centres with a registered node, by the distance from the store and then by name, the same on every node with the same
    /// registrations.
    auto dataCentreOrder() const -> const std::vector<std::string>&;
    auto hasPrecedingDataCentre() const -> bool { return dataCentreOrder().front() != m_own.dataCentre; }
    auto localReader(time_point now) const -> const node_hello*;
    auto remoteUpstream(time_point now) const -> const node_hello*;

    node_registration m_own;
    bool m_isReady { false };
    bool m_isLeaving { false };
    std::vector<host_demand> m_ownDemands;
    std::vector<std::string> m_ownLostHosts;
    time_point m_startupGraceUntil {};
    std::map<std::string, node, std::less<>> m_nodes;
    /// Cached result of `dataCentreOrder`, cleared when a registration changes.
    mutable std::vector<std::string> m_dataCentreOrder;
};

} // namespace gypsumhub
