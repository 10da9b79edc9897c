#pragma once

#include <string_view>

namespace gypsumhub {

/// Names on the platform's wire. The bodies' field names are those that deploy/wire.toml chooses.
namespace wire_names {

    constexpr auto requestId = std::string_view { "Request-Id" };
    /// How long the sender will wait, in milliseconds from the arrival.
    constexpr auto timeLeft = std::string_view { "Deadline-Ms" };
    constexpr auto signature = std::string_view { "Upstream-Signature" };
    /// Names the only target that may run the request.
    constexpr auto expectedTarget = std::string_view { "Target-Instance" };
    /// On an answer: the target did not run the request.
    constexpr auto notExecuted = std::string_view { "Not-Executed" };

    constexpr auto readinessPath = std::string_view { "/gypsumhub/readyz" };
    constexpr auto directoryPath = std::string_view { "/gypsumhub/resolve" };

    constexpr auto configurationKey = std::string_view { "op/config" };
    constexpr auto targetPrefix = std::string_view { "servers/" };

} // namespace wire_names

} // namespace gypsumhub
