#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/gateway/gateway_context.h"

namespace gypsumhub {

/// Reads the rate limits that targets state in their answers.
class limit_watcher {
public:
    explicit limit_watcher(gateway_context&);

    /// Handles the head of an answer of the target. `isSigned` marks an answer that bears its signature; only the absence of a limit
    /// in such an answer ends the limit.
    auto handleAnswer(const target_registration&, const http::fields& head, bool isSigned) -> void;

private:
    auto logChange(const target_limit&, std::string_view statedTo) -> void;

    gateway_context& m_context;
    /// When a malformed limit was logged last.
    time_point m_malformedLoggedAt {};
};

} // namespace gypsumhub
