#pragma once

#include "gypsumhub/gateway/store_access.h"

#include <functional>
#include <optional>

namespace gypsumhub {

/// Keeps the newest configuration: watches it at the store, or lists it at the node that says that it has a newer one.
class configuration_follower {
public:
    /// `onProgress` is called when a newer configuration is in force.
    configuration_follower(store_access&, std::function<void()> onProgress);

    auto start() -> void;
    auto handleHello(const node_hello&) -> void;
    /// The configuration in force as it was written; nothing before there is one.
    auto list() const -> std::optional<key_listing>;

private:
    auto follow() -> task<>;
    auto read() -> task<uint64_t>;
    auto catchUp(std::string from) -> task<>;
    auto applyEntry(const store_entry&) -> void;
    auto applyListing(const key_listing&) -> void;

    store_access& m_access;
    std::function<void()> m_onProgress;
    store_entry m_entry;
    bool m_isCatchingUp { false };
};

} // namespace gypsumhub
