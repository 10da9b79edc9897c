#pragma once

#include "gypsumhub/gateway/gateway_context.h"

#include <functional>
#include <span>
#include <vector>

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
    /// Repeats reports that may have been lost, or that a node which has just started did not receive.
    auto tick(time_point now) -> void;

private:
    auto apply(const leaving_target&, std::string_view statedTo) -> void;

    /// A report that is sent again at `nextAt`.
    struct repeated_report {
        leaving_target stated;
        time_point nextAt;
        uint32_t remaining { 0 };
    };

    gateway_context& m_context;
    sender m_send;
    std::vector<repeated_report> m_repeated;
};

} // namespace gypsumhub
