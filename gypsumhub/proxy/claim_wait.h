#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/proxy/claim_port.h"
#include "gypsumhub/proxy/request_cancellation.h"

#include <memory>

namespace gypsumhub {

/// Asks the port for a verdict and waits until it comes, the deadline passes or the caller goes away. A verdict that comes
/// later and allows the dispatch is given back as not run.
auto awaitClaim(claim_port&, std::shared_ptr<asio::io_context>, claim_query, time_point now, request_cancellation&) -> task<claim_verdict>;

} // namespace gypsumhub
