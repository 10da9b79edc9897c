#pragma once

#include "gypsumhub/gateway/store_access.h"

#include <functional>
#include <optional>

namespace gypsumhub {

/// Keeps the latest configuration in force. Watches it in the store, or lists it from a node whose hello reports a newer version.
class configuration_watcher {
public:
    /// `onProgress` is called when a newer configuration comes into force, and when this node has begun to watch the store.
    configuration_watcher(store_access&, std::function<void()> onProgress);

    auto start() -> void;
    auto handleHello(const node_hello&) -> void;
    /// Reads the configuration from the store, which confirms that it is the newest one. No effect while a read for this purpose is under way, or
    /// for a while after such a read has failed.
    auto confirmByStore() -> void;
    /// Whether this node watches the configuration in the store at present.
    auto isWatching() const -> bool { return m_matchedAt.has_value(); }
    /// Time since the store last answered this node's watch, or `unwatchedConfigurationAge`.
    auto age() const -> duration;
    /// The configuration in force as written in the store, or nullopt while there is none.
    auto list() const -> std::optional<key_listing>;

private:
    /// Reads and watches the configuration in the store while `membership_view::watchesConfiguration` holds.
    auto watch() -> task<>;
    /// Lists the configuration from the store. Returns the revision of the listing, or 0 when the call fails.
    auto read() -> task<uint64_t>;
    /// Records that the configuration has just been found to match the store.
    auto recordMatch() -> void;
    /// Lists a configuration of at least `version` from nodes that have it, `informant` among them, or from the store when none of them
    /// delivers it in time.
    auto catchUp(std::string informant, uint64_t version) -> task<>;
    auto readToConfirm() -> task<>;
    /// Zero while there is none.
    auto versionInForce() const -> uint64_t;
    auto applyEntry(const store_entry&) -> void;
    auto applyListing(const key_listing&) -> void;

    store_access& m_access;
    std::function<void()> m_onProgress;
    store_entry m_entry;
    /// When the configuration last matched the store, while this node watches it there.
    std::optional<time_point> m_matchedAt;
    /// Runs while another node watches. Cancelled when that one may have lost the store.
    steady_timer m_recheckTimer;
    bool m_isStarting { true };
    bool m_isCatchingUp { false };
    bool m_isConfirming { false };
};

} // namespace gypsumhub
