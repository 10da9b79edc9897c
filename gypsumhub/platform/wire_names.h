#pragma once

#include <string_view>

namespace gypsumhub {

/// Header names, paths and keys of the platform's protocols. The field names of bodies are defined in deploy/wire.toml.
namespace wire_names {

    constexpr auto requestId = std::string_view { "Request-Id" };
    /// How long the sender waits for the answer, in milliseconds from the arrival of the request.
    constexpr auto timeLeft = std::string_view { "Deadline-Ms" };
    /// On an answer: the target's signature. Without it a success does not come from the target.
    constexpr auto signature = std::string_view { "Upstream-Signature" };
    /// Id of the only target that may run the request.
    constexpr auto expectedTarget = std::string_view { "Target-Instance" };
    /// Name of the customer that holds the caller's key.
    constexpr auto customerName = std::string_view { "Tenant" };
    /// The scheme of the Authorization field that carries the key of a customer.
    constexpr auto keyScheme = std::string_view { "Bearer" };
    /// On an answer: the target did not run the request.
    constexpr auto notExecuted = std::string_view { "Not-Executed" };
    /// On an answer: the requests per second that the target accepts from all nodes together, until an answer comes without the field.
    constexpr auto rateLimit = std::string_view { "Server-Limit" };
    /// On an answer, with the value 1: the target is leaving and wants no new requests.
    constexpr auto leaving = std::string_view { "Server-Leaving" };

    /// On each answer of the store: rises by one whenever the store comes back from an older copy.
    constexpr auto storeEra = std::string_view { "Store-Era" };

    constexpr auto readinessPath = std::string_view { "/gypsumhub/readyz" };
    constexpr auto directoryPath = std::string_view { "/gypsumhub/resolve" };

    /// Keys of the store: the configuration document, and the prefix of target registrations.
    constexpr auto configurationKey = std::string_view { "op/config" };
    constexpr auto targetPrefix = std::string_view { "servers/" };

} // namespace wire_names

} // namespace gypsumhub
