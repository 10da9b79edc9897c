#pragma once

#include "gypsumhub/platform/configuration_loader.h"

#include <atomic>
#include <functional>
#include <thread>

namespace gypsumhub {

/// Follows the configuration's head in the store on a thread of its own.
class store_follower {
public:
    /// `listener` hears each verified revision, and `refused` each fault other than an unreachable store, on the follower's thread.
    store_follower(store&, std::function<void(std::shared_ptr<const config_revision>)> listener, std::function<void(const fault&)> refused);

    /// Whether the last call to the store succeeded.
    auto storeReachable() const -> bool;

private:
    auto loop(const std::stop_token&) -> void;
    auto loadNext(const std::shared_ptr<const config_revision>& held) -> std::shared_ptr<const config_revision>;

    configuration_loader m_loader;
    std::function<void(std::shared_ptr<const config_revision>)> m_listener;
    std::function<void(const fault&)> m_refused;
    std::atomic<bool> m_reachable { false };
    std::jthread m_thread;
};

} // namespace gypsumhub
