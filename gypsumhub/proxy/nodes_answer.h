#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/proxy/caller_answer.h"
#include "gypsumhub/proxy/caller_request.h"
#include "gypsumhub/proxy/proxy_context.h"

namespace gypsumhub {

/// Path of the request for the nodes that serve a service.
constexpr auto nodesPath = std::string_view { "/v1/nodes" };

/// Answers `GET /v1/nodes?service=NAME` with the addresses of the serving group, nearest first, and the time until which
/// callers may use them. Addresses at equal distance are in random order, which balances the load. A node that is shutting
/// down omits itself.
auto answerNodes(const proxy_context&, const routing_snapshot&, const caller_request&, random_generator&) -> caller_answer;

} // namespace gypsumhub
