#pragma once

#include "gypsumhub/gateway/configuration_follower.h"
#include "gypsumhub/gateway/node_follower.h"
#include "gypsumhub/gateway/target_follower.h"

#include <optional>
#include <string_view>

namespace gypsumhub {

/// All that a node keeps of the store: the configuration, the registrations of targets and those of nodes.
class store_follower {
public:
    store_follower(gateway_context&, keyspace&, target_follower::listeners);

    auto start() -> void;
    /// Ends the node's registration.
    auto unregister() -> void { m_nodes.unregister(); }
    auto handleChanges(std::span<const view_change> changes) -> void { m_targets.handleChanges(changes); }
    /// Takes in what another node says that it knows.
    auto handleHello(const node_hello&) -> void;
    auto tick() -> void { m_targets.tick(); }
    /// The entries under a prefix as this node knows them, for other nodes; nothing for what it does not know.
    auto listFor(std::string_view prefix) const -> std::optional<key_listing>;
    auto nodesDigest() const -> uint64_t { return m_nodes.digest(); }

private:
    store_access m_access;
    configuration_follower m_configuration;
    target_follower m_targets;
    node_follower m_nodes;
};

} // namespace gypsumhub
