#pragma once

#include "gypsumhub/config/configuration.h"
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
};

/// The nodes of the fleet as this node sees them: who is registered, who is heard, who serves which host and who reads
/// the registrations for its data centre.
class node_roster {
public:
    explicit node_roster(node_registration own);

    auto noteRegistered(const node_registration&, time_point now) -> void;
    /// The registration has ended. A node of the data centre that is still heard stays: the store may have lost its lease.
    auto noteUnregistered(std::string_view name, time_point now) -> void;
    auto noteHello(const node_hello&, time_point now) -> void;
    auto setOwn(bool isReady, bool isLeaving) -> void;

    /// At most `count` caller addresses of nodes of a data centre for callers of a host, the same on every node that
    /// hears the same ones; of all data centres when none of that one is alive.
    auto group(std::string_view host, std::string_view dataCentre, size_t count, time_point now) const -> std::vector<endpoint>;
    /// Whether no other node of the data centre that comes before this one reads the registrations with success.
    auto isReader(time_point now) const -> bool;
    /// The newest hello of the reader of the data centre, or null when this node reads itself or none is heard.
    auto reader(time_point now) const -> const node_hello*;

    auto peers() const -> std::vector<node_registration>;
    /// Registered nodes, this one included.
    auto size() const -> uint32_t { return static_cast<uint32_t>(m_nodes.size()) + 1; }
    auto knows(std::string_view name, std::string_view address) const -> bool;

private:
    struct node {
        node_registration registration;
        node_hello hello;
        time_point registeredAt;
        time_point heardAt;
        bool isHeard { false };
    };

    auto isAlive(const node&, time_point now) const -> bool;

    node_registration m_own;
    bool m_isReady { false };
    bool m_isLeaving { false };
    std::map<std::string, node, std::less<>> m_nodes;
};

} // namespace gypsumhub
