#pragma once

#include "gypsumhub/config/node_settings.h"
#include "gypsumhub/core/fault.h"

#include <memory>

namespace gypsumhub {

/// One node of the fleet: everything that `gypsumhub serve` runs.
class node {
public:
    explicit node(node_settings);
    ~node();
    node(const node&) = delete;
    auto operator=(const node&) -> node& = delete;

    /// Serves until SIGTERM or SIGINT starts a planned stop and the stop is complete. A second signal changes nothing.
    /// Fails with `AddressInUse` or `SettingsInvalid` before anything is served.
    auto run() -> leaf::result<void>;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub
