#pragma once

#include "gypsumhub/gateway/gateway_context.h"

#include <functional>
#include <span>

namespace gypsumhub {

/// Notices targets that state in their answers that they are leaving, and makes them known to the other nodes of the region.
class leaving_watcher {
public:
    using sender = std::function<void(const node_datagram&)>;

    /// `send` sends a datagram to the other nodes of the region.
    leaving_watcher(gateway_context&, sender);

    /// Handles the head of a target's answer.
    auto handleAnswer(const target_registration&, const http::response_header<>& head) -> void;
    /// Handles targets that other nodes report.
    auto handleReport(std::span<const leaving_target>, std::string_view sender) -> void;

private:
    auto apply(const leaving_target&, std::string_view statedTo) -> void;

    gateway_context& m_context;
    sender m_send;
};

} // namespace gypsumhub
