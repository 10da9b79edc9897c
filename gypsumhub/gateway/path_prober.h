#pragma once

#include "gypsumhub/gateway/gateway_context.h"

#include <functional>

namespace gypsumhub {

/// Opens test connections to targets when a `path_monitor` asks for them, and applies its verdict to the rest of the node.
class path_prober {
public:
    /// `onChange` is called after the paths to the targets of a service were lost or regained.
    path_prober(gateway_context&, std::function<void()> onChange);

    /// Starts probes that are due.
    auto tick(time_point now) -> void;

private:
    auto probe(std::string service, std::string id, endpoint address) -> task<>;
    auto handleChange(const std::string& service, bool areLost) -> void;

    gateway_context& m_context;
    std::function<void()> m_onChange;
};

} // namespace gypsumhub
