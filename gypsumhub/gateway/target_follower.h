#pragma once

#include "gypsumhub/decision/selection/persistent_mismatch.h"
#include "gypsumhub/gateway/store_access.h"

#include <functional>
#include <optional>
#include <span>

namespace gypsumhub {

/// Keeps the registrations of all targets: reads their changes at the store, or takes them from the node that does.
class target_follower {
public:
    struct listeners {
        /// Changes that the other nodes need.
        std::function<void(std::span<const view_change>)> broadcast;
        /// The node knows more than before and says so.
        std::function<void()> progress;
    };

    target_follower(store_access&, listeners);

    auto start() -> void;
    /// Takes in changes that another node has read.
    auto handleChanges(std::span<const view_change>) -> void;
    /// Takes in a hello of the node that this one learns from.
    auto handleReaderHello(const node_hello&) -> void;
    /// Carries out removals whose time has come.
    auto tick() -> void;
    /// The registrations as this node knows them; nothing before it knows them.
    auto list() const -> std::optional<key_listing>;

private:
    auto follow() -> task<>;
    auto readAll() -> task<bool>;
    auto applyListing(const key_listing&, view_source) -> void;
    auto isRelay(time_point now) const -> bool;
    auto readChanges() -> task<bool>;
    auto readEntry(const store_entry&) -> std::optional<target_registration>;
    auto apply(std::span<const view_change>) -> void;

    store_access& m_access;
    listeners m_listeners;
    uint64_t m_revision { 0 };
    persistent_mismatch m_mismatch;
    bool m_needsListing { true };
};

} // namespace gypsumhub
