#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/core/time_point.h"

#include <string_view>

namespace gypsumhub {

/// The answer to a caller.
using caller_reply = http::response<http::string_body>;

/// Makes an answer of this node, without a body. Without an id the answer has none.
auto makeReply(unsigned status, std::string_view requestId) -> caller_reply;

/// Makes the refusal of a request that has not run and will not run. `retryAfter` is lengthened by a random share, so that callers
/// refused together do not retry together.
auto makeRefusal(std::string_view requestId, duration retryAfter, random_generator&, unsigned status = 503) -> caller_reply;

/// The same, with a `retryAfter` that is already spread over the callers.
auto makeScheduledRefusal(std::string_view requestId, duration retryAfter, unsigned status = 503) -> caller_reply;

} // namespace gypsumhub
