#pragma once

#include <string>
#include <string_view>

namespace gypsumhub {

/// What a running node shows to its operators. Called from the admin server's thread; each call may take up to a second.
class admin_view {
public:
    virtual ~admin_view() = default;

    /// Whether the node has a verified configuration, hears from its peers, and is not stopping.
    virtual auto isReady() -> bool = 0;

    /// The node's state as one JSON object; fields: docs/OPERATORS.md.
    virtual auto statusJson() -> std::string = 0;

    /// Why each target of a service is in, demoted or out; for the name of a VM, only that line. Empty when neither is known.
    virtual auto explain(std::string_view serviceOrVm) -> std::string = 0;

    /// All metrics in Prometheus text format.
    virtual auto metricsText() -> std::string = 0;
};

} // namespace gypsumhub
