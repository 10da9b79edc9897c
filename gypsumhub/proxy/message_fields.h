#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/proxy/caller_request.h"

#include <string>

namespace gypsumhub {

/// Removes the fields that concern one connection only, and those that `Connection` names.
auto removeHopByHopFields(http::fields&) -> void;

/// Removes the fields that concern one connection only, those that `Connection` names, and every field of the product.
auto removeConnectionFields(http::fields&) -> void;

/// The head of the request as it goes to a target, or with `hop` to a peer. The body's length is set; the body is not.
auto makeOutboundHead(const caller_request&, bool hop) -> http::request_header<>;

/// Sets the trace context of an outbound request: the span's, or the one received when spans are off.
auto setTraceparent(http::fields&, const request_span&, const caller_request&) -> void;

/// "ADDRESS:PORT", with brackets around IPv6 numbers.
auto formatAddress(const endpoint&) -> std::string;

} // namespace gypsumhub
