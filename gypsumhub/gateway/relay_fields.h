#pragma once

#include "gypsumhub/proxy/request_reader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// What a node that relays a request to another one says about it, in one header field: "ATTEMPTS CALLER-ADDRESS SERVICE".
struct relay_fields {
    static constexpr auto name = std::string_view { "Gypsumhub-Relay" };
    /// Name of the field with the customer on whose behalf the request is relayed. Counts only beside the other one.
    static constexpr auto customer = std::string_view { "Gypsumhub-Customer" };
    /// Value of the field in the answer of a node that has itself lost its paths to the service and did not run the request.
    static constexpr auto unavailable = std::string_view { "unavailable" };

    /// To how many targets the request may be sent.
    uint32_t attempts { 1 };
    /// The IP address of the caller.
    std::string callerAddress;
    /// The service that was chosen for the request.
    std::string service;

    auto text() const -> std::string { return std::to_string(attempts) + " " + callerAddress + " " + service; }
};

/// Reads the field of a relayed request. Returns nullopt when it is absent or malformed.
auto readRelayFields(const inbound_message&) -> std::optional<relay_fields>;

} // namespace gypsumhub
