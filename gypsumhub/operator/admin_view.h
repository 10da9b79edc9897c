#pragma once

#include <string>
#include <string_view>

namespace gypsumhub {

/// State of a running node as its operators see it. Called from the thread of the admin server; each call may block for up to one
/// second.
class admin_view {
public:
    virtual ~admin_view() = default;

    /// Whether the node has a verified configuration, receives messages from its peers, and is not shutting down.
    virtual auto isReady() -> bool = 0;

    /// The state of the node as one JSON object. docs/OPERATORS.md lists the fields.
    virtual auto statusJson() -> std::string = 0;

    /// One line for each target of a service: whether it is in rotation, demoted or out of rotation, and why. For the name of a VM,
    /// only the line of that VM. Empty when neither a service nor a VM has this name.
    virtual auto explain(std::string_view serviceOrVm) -> std::string = 0;

    /// All metrics in Prometheus text format.
    virtual auto metricsText() -> std::string = 0;
};

} // namespace gypsumhub
