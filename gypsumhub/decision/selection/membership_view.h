#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/config/node_size.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// What a node registers of itself in the store.
struct node_registration {
    std::string name;
    std::string dataCentre;
    endpoint callerAddress;
    endpoint peerAddress;
    /// The shortest time that a call to the store took; tells which data centres are near the store.
    duration storeDelay {};
    node_size size;
};

/// How many nodes a group holds: `nodes` of them, or more until they have `size` together.
struct group_requirement {
    uint32_t nodes { 1 };
    node_size size;
};

/// What a node says of itself to the other nodes of its data centre, several times a second.
struct node_hello {
    std::string name;
    bool isReady { false };
    bool isLeaving { false };
    uint64_t configurationVersion { 0 };
    /// Hash of the registrations that the node knows, and how old its knowledge of them is.
    uint64_t viewDigest { 0 };
    duration viewAge;
    /// Hash of the registrations of nodes that it knows.
    uint64_t nodesDigest { 0 };
};

/// The nodes of the fleet as this node sees them: who is registered, who is heard, who serves which host and who reads
/// the registrations for its data centre.
class membership_view {
public:
    explicit membership_view(node_registration own);

    auto recordRegistration(const node_registration&) -> void;
    /// The registration has ended. A node of the data centre that is still heard stays: the store may have lost its lease.
    auto recordUnregistration(std::string_view name, time_point now) -> void;
    auto recordHello(const node_hello&, time_point now) -> void;
    auto setOwnState(bool isReady, bool isLeaving) -> void;

    /// Caller addresses of nodes of a data centre for callers of a host, the same on every node that hears the same ones;
    /// of all data centres when none of that one is alive. Nodes that reach the size alone come before smaller ones.
    auto group(std::string_view host, std::string_view dataCentre, const group_requirement&, time_point now) const -> std::vector<endpoint>;
    /// Whether this node reads the store itself, since it hears no other node that does.
    auto isReader(time_point now) const -> bool { return reader(now) == nullptr; }
    /// The newest hello of the node that this one learns from: the first of its data centre that is up to date, or for that
    /// first one a node near the store, so that the distant link carries each change once. Null when there is none.
    auto reader(time_point now) const -> const node_hello*;
    /// Whether this node is the first of its data centre and learns from a node near the store.
    auto hasRemoteUpstream(time_point now) const -> bool { return !localReader(now) && remoteUpstream(now); }
    /// Whether this node waits for changes of the configuration at the store: the first two of a data centre that nobody feeds.
    auto watchesConfiguration(time_point now) const -> bool;
    /// The nodes that hear this one's hellos and changes: those of its data centre, those that it feeds and those that feed it.
    auto recipients(time_point now) const -> std::vector<node_registration>;
    /// The nodes that this one asks at its start for what they know, in this order; none for the first of a data centre.
    /// They form a tree, so that a whole data centre that starts at once loads neither the store nor one node.
    auto bootstrapSources() const -> std::vector<std::string>;
    /// For a while after the start nodes that come before this one count as heard, so that not all read the store until
    /// the first hellos arrive.
    auto beginStartupGrace(time_point now) -> void;
    auto setStoreDelay(duration delay) -> void { m_own.storeDelay = delay; }
    auto own() const -> const node_registration& { return m_own; }

    auto find(std::string_view name) const -> const node_registration*;
    auto peers() const -> std::vector<node_registration>;
    auto isPeerAddress(std::string_view name, std::string_view address) const -> bool;

private:
    struct node {
        node_registration registration;
        node_hello hello;
        time_point helloReceivedAt;
        bool isActive { false };
    };

    auto isAvailable(const node&, time_point now) const -> bool;
    auto isActive(const node&, time_point now) const -> bool;
    /// The oldest view with which a node still counts as reading for its data centre.
    auto maxReaderViewAge() const -> duration;
    /// Whether a node that comes before this one in the data centre reads for it.
    auto isPrecedingReader(const node&, duration maxViewAge, time_point now) const -> bool;
    auto isCloserToStore(const node&) const -> bool;
    auto hasCloserNode() const -> bool;
    auto localReader(time_point now) const -> const node_hello*;
    auto remoteUpstream(time_point now) const -> const node_hello*;

    node_registration m_own;
    bool m_isReady { false };
    bool m_isLeaving { false };
    time_point m_startupGraceUntil {};
    std::map<std::string, node, std::less<>> m_nodes;
};

} // namespace gypsumhub
