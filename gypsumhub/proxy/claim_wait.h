#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/proxy/claim_port.h"
#include "gypsumhub/proxy/request_cancellation.h"

#include <memory>

namespace gypsumhub {

/// Requests a verdict from the port and waits until it arrives, the deadline passes or the caller disconnects. A later
/// `Dispatch` verdict is returned to the port as `NotRun`.
auto awaitClaim(claim_port&, std::shared_ptr<asio::io_context>, claim_query, time_point now, request_cancellation&) -> task<claim_verdict>;

} // namespace gypsumhub
