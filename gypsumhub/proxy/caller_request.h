#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/core/result_code.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/proxy/request_reader.h"
#include "gypsumhub/proxy/request_span.h"

#include <cstdint>
#include <string>

namespace gypsumhub {

/// A caller's request with the product's header fields read.
struct caller_request {
    inbound_message message;
    /// From `Gypsumhub-Request-Id`, or made here.
    std::string id;
    /// From `Gypsumhub-Deadline`; `never` until the service's default is known.
    time_point deadline { never };
    std::string idempotencyKey;
    /// From `Gypsumhub-Attempt`; 0 when the caller names none.
    uint32_t attempt { 0 };
    /// Whether another node passed the request on; it must not be passed on again.
    bool forwarded { false };
    /// W3C trace context as received, or empty.
    std::string traceparent;
    /// The span of the whole request; off unless the server traces.
    request_span span {};
};

/// Reads the product's fields of `request.message` into the other members. `Ok`, `DeadlineInvalid` or `MalformedRequest`.
auto readGypsumhubFields(caller_request& request, random_generator&) -> result_code;

/// The path of a request target, without the query.
auto pathOf(std::string_view target) -> std::string_view;

/// The value of a query parameter with percent-encoding removed, or empty.
auto queryParameter(std::string_view target, std::string_view name) -> std::string;

} // namespace gypsumhub
