#pragma once

#include "gypsumhub/gateway/gateway_context.h"
#include "gypsumhub/store/keyspace.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace gypsumhub {

/// Follows what a node reads from the store: the configuration, the registrations of targets and those of nodes. It also
/// keeps the node's own registration.
class store_follower {
public:
    struct listeners {
        /// Changes of registrations that the other nodes of the data centre need.
        std::function<void(std::span<const view_change>)> spread;
        /// The node knows more than before and says so.
        std::function<void()> progress;
    };

    store_follower(gateway_context&, keyspace&, listeners);

    auto start() -> void;
    /// Ends the node's registration.
    auto unregister() -> void;
    /// Takes in changes that another node has read.
    auto takeChanges(std::span<const view_change>) -> void;
    /// Takes in what another node says of its configuration and, when it is the reader, of its view.
    auto takeHello(const node_hello&) -> void;
    /// Carries out removals whose time has come.
    auto tick() -> void;

    /// The entries under a prefix as this node knows them, for other nodes; nothing for prefixes that it does not keep.
    auto listFor(std::string_view prefix) const -> std::optional<key_listing>;
    auto nodesDigest() const -> uint64_t;

    auto hasTargets() const -> bool { return m_hasTargets; }

private:
    auto followConfiguration() -> task<>;
    auto followTargets() -> task<>;
    auto followNodes() -> task<>;
    auto keepRegistration() -> task<>;
    auto readConfiguration() -> task<uint64_t>;
    auto catchUpConfiguration(std::string from) -> task<>;
    auto catchUpNodes(std::string from) -> task<>;
    /// Lists a prefix at another node, or at the store when that node does not answer.
    auto listAt(std::string node, std::string prefix) -> task<keyspace_result<key_listing>>;
    auto takeNodes(const key_listing&) -> void;
    auto readNodes() -> task<uint64_t>;
    auto readTargets() -> task<bool>;
    auto readTargetChanges() -> task<bool>;
    auto takeConfiguration(const store_entry&) -> void;
    auto takeNode(const store_entry&) -> void;
    auto readEntry(const store_entry&) -> std::optional<target_registration>;
    auto apply(std::span<const view_change>) -> void;
    auto noteStore(std::string_view what, keyspace_status) -> bool;
    auto pause(duration) -> task<>;

    gateway_context& m_context;
    keyspace& m_store;
    listeners m_listeners;
    uint64_t m_targetRevision { 0 };
    uint64_t m_lease { 0 };
    /// Hellos in a row whose view differs from this node's.
    uint32_t m_differences { 0 };
    bool m_hasTargets { false };
    bool m_mustList { true };
    bool m_isLost { false };
    bool m_isCatchingUp { false };
    bool m_isCatchingUpNodes { false };
    uint32_t m_nodeDifferences { 0 };
    /// What this node knows of the store's entries, as they were written.
    store_entry m_configuration;
    std::map<std::string, store_entry, std::less<>> m_nodes;
};

} // namespace gypsumhub
