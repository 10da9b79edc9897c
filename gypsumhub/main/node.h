#pragma once

#include "gypsumhub/config/node_settings.h"
#include "gypsumhub/core/fault.h"

#include <memory>

namespace gypsumhub {

/// A node of the fleet, as run by `gypsumhub serve`.
class node {
public:
    explicit node(node_settings);
    ~node();
    node(const node&) = delete;
    auto operator=(const node&) -> node& = delete;

    /// Serves until SIGTERM or SIGINT starts a graceful shutdown, and returns when it is complete. A second signal has no
    /// effect. Fails, for example with `AddressInUse` or `SettingsInvalid`, before any request is served.
    auto run() -> leaf::result<void>;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub
