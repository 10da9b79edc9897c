#pragma once

#include "gypsumhub/gateway/configuration_watcher.h"
#include "gypsumhub/gateway/node_watcher.h"
#include "gypsumhub/gateway/target_watcher.h"
#include "gypsumhub/platform/kv_client.h"

#include <optional>
#include <string_view>

namespace gypsumhub {

/// Keeps a node's copy of the store up to date: the configuration and the registrations of targets and nodes.
class store_watcher {
public:
    store_watcher(gateway_context&, keyspace&, target_watcher::listeners);

    auto start() -> void;
    /// Ends this node's registration.
    auto unregister() -> void { m_nodes.unregister(); }
    auto handleChanges(std::span<const view_change> changes) -> void { m_targets.handleChanges(changes); }
    /// Compares the versions and digests in a hello with this node's copies and lists what differs.
    auto handleHello(const node_hello&) -> void;
    auto tick() -> void { m_targets.tick(); }
    /// This node's copy of the entries that another node lacks. Returns nullopt for a prefix that this node does not hold.
    auto listFor(const listing_query&) const -> std::optional<key_listing>;
    auto isStoreLost() const -> bool { return m_access.isStoreLost(); }
    auto configurationAge() const -> duration { return m_configuration.age(); }
    auto confirmConfiguration() -> void { m_configuration.confirmByStore(); }
    auto isWatchingConfiguration() const -> bool { return m_configuration.isWatching(); }
    auto nodesDigest() const -> uint64_t { return m_nodes.digest(); }

private:
    store_access m_access;
    configuration_watcher m_configuration;
    target_watcher m_targets;
    node_watcher m_nodes;
};

} // namespace gypsumhub
