#pragma once

#include "gypsumhub/proxy/asio_types.h"
#include "gypsumhub/proxy/caller_request.h"

namespace gypsumhub {

/// Removes the fields that concern one connection only, those that `Connection` names, and every field of the product.
auto removeConnectionFields(http::fields&) -> void;

/// The head of the request as it goes to a target, or with `hop` to a peer. The body's length is set; the body is not.
auto makeOutboundHead(const caller_request&, bool hop) -> http::request_header<>;

} // namespace gypsumhub
