#pragma once

#include "gypsumhub/gateway/store_access.h"

#include <functional>
#include <optional>

namespace gypsumhub {

/// Keeps the latest configuration in force. Watches it in the store, or lists it from a node whose hello reports a newer version.
class configuration_watcher {
public:
    /// `onProgress` is called when a newer configuration comes into force.
    configuration_watcher(store_access&, std::function<void()> onProgress);

    auto start() -> void;
    auto handleHello(const node_hello&) -> void;
    /// The configuration in force as written in the store, or nullopt while there is none.
    auto list() const -> std::optional<key_listing>;

private:
    /// Reads and watches the configuration in the store while `membership_view::watchesConfiguration` holds.
    auto watch() -> task<>;
    /// Lists the configuration from the store. Returns the revision of the listing, or 0 when the call fails.
    auto read() -> task<uint64_t>;
    /// Lists a configuration of at least `version` from nodes that have it, `informant` among them, or from the store when none of them
    /// delivers it in time.
    auto catchUp(std::string informant, uint64_t version) -> task<>;
    /// Zero while there is none.
    auto versionInForce() const -> uint64_t;
    auto applyEntry(const store_entry&) -> void;
    auto applyListing(const key_listing&) -> void;

    store_access& m_access;
    std::function<void()> m_onProgress;
    store_entry m_entry;
    bool m_isStarting { true };
    bool m_isCatchingUp { false };
};

} // namespace gypsumhub
