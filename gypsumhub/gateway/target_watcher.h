#pragma once

#include "gypsumhub/decision/selection/persistent_mismatch.h"
#include "gypsumhub/gateway/store_access.h"

#include <functional>
#include <optional>
#include <span>

namespace gypsumhub {

/// Keeps the registrations of all targets up to date. Reads their changes from the store as the designated reader, or receives them
/// from that reader.
class target_watcher {
public:
    /// Callbacks to the node.
    struct listeners {
        /// Sends changes to the other nodes.
        std::function<void(std::span<const view_change>)> broadcast;
        /// Called after a listing was applied, so that the node sends a hello with its new state.
        std::function<void()> progress;
    };

    target_watcher(store_access&, listeners);

    auto start() -> void;
    /// Applies changes received from another node.
    auto handleChanges(std::span<const view_change>) -> void;
    /// Handles a hello of the node from which this one receives changes. Requests a listing on a persistent mismatch.
    auto handleReaderHello(const node_hello&) -> void;
    /// Applies held-back removals that are due.
    auto tick() -> void;
    /// This node's copy of the registrations in the buckets that differ from `known`, or nullopt before the first listing.
    auto list(const bucket_digests& known) const -> std::optional<key_listing>;

private:
    /// Watches the registrations in the store while this node is the reader, and lists them again when needed.
    auto watch() -> task<>;
    /// Lists all registrations from the reader or from the store. Returns whether that succeeded.
    auto readAll() -> task<bool>;
    auto applyListing(const key_listing&, view_source) -> void;
    /// Whether this node forwards to other nodes the changes that it applies.
    auto isRelay(time_point now) const -> bool;
    /// Applies and broadcasts the changes since `m_revision`; waits for one up to `watch_timing::maxWait`. Returns whether the call to
    /// the store succeeded.
    auto readChanges() -> task<bool>;
    auto readEntry(const store_entry&) -> std::optional<target_registration>;
    /// Logs an entry of the store that will be ignored since the known one is newer.
    auto logLateEntry(const target_registration&) -> void;
    auto apply(std::span<const view_change>) -> void;

    store_access& m_access;
    listeners m_listeners;
    /// The store revision from which to watch; 0 when the store has to be listed first.
    uint64_t m_revision { 0 };
    persistent_mismatch m_mismatch;
    bool m_needsListing { true };
};

} // namespace gypsumhub
