#pragma once

#include <string_view>

namespace gypsumhub {

/// Names of the header fields that Gypsumhub reads and writes, as documented in docs/CALLERS.md and docs/TARGETS.md.
namespace header_names {

    /// Absolute deadline in Unix milliseconds.
    constexpr auto deadline = std::string_view { "Gypsumhub-Deadline" };
    constexpr auto requestId = std::string_view { "Gypsumhub-Request-Id" };
    constexpr auto idempotencyKey = std::string_view { "Idempotency-Key" };
    /// The caller's attempt number; the first attempt is 1.
    constexpr auto attempt = std::string_view { "Gypsumhub-Attempt" };
    /// "answered", "not-run" or "unknown".
    constexpr auto outcome = std::string_view { "Gypsumhub-Outcome" };
    /// Number and name of the result code, as "NUMBER NAME".
    constexpr auto result = std::string_view { "Gypsumhub-Result" };
    /// "shed" or "draining", on a target's answer with status 503.
    constexpr auto declined = std::string_view { "Gypsumhub-Declined" };
    /// Set to 1 by a node that forwards a request to a member of the serving group.
    constexpr auto hop = std::string_view { "Gypsumhub-Hop" };
    /// Name of the customer whose request rate the request counts against.
    constexpr auto caller = std::string_view { "Gypsumhub-Caller" };
    constexpr auto traceparent = std::string_view { "traceparent" };

} // namespace header_names

} // namespace gypsumhub
