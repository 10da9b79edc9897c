#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/proxy/caller_answer.h"
#include "gypsumhub/proxy/caller_request.h"
#include "gypsumhub/proxy/proxy_context.h"

namespace gypsumhub {

/// The path that callers ask for the addresses of a service.
constexpr auto nodesPath = std::string_view { "/v1/nodes" };

/// Answers `GET /v1/nodes?service=NAME`: the addresses of the service's serving group, nearest first, those of equal
/// distance in random order so that callers spread, and the absolute deadline until which callers may use them.
/// A stopping node leaves itself out.
auto answerNodes(const proxy_context&, const routing_snapshot&, const caller_request&, random_generator&) -> caller_answer;

} // namespace gypsumhub
