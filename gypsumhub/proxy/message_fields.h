#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/proxy/caller_request.h"

#include <string>

namespace gypsumhub {

/// Removes the hop-by-hop header fields and those that `Connection` names.
auto removeHopByHopFields(http::fields&) -> void;

/// Removes the hop-by-hop header fields, those that `Connection` names, and the `Gypsumhub-` fields that each hop sets anew.
auto removeConnectionFields(http::fields&) -> void;

/// Makes the request head for a target or, if `hop` is set, for a peer. Sets the content length.
auto makeOutboundHead(const caller_request&, bool hop) -> http::request_header<>;

/// Sets `traceparent` of an outbound request to the span's context, or to the received value when spans are off.
auto setTraceparent(http::fields&, const request_span&, const caller_request&) -> void;

/// Formats as "ADDRESS:PORT", with brackets around IPv6 addresses.
auto formatAddress(const endpoint&) -> std::string;

} // namespace gypsumhub
