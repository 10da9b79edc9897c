#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/core/result_code.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/proxy/request_reader.h"
#include "gypsumhub/proxy/request_span.h"

#include <cstdint>
#include <string>

namespace gypsumhub {

/// A caller's request with its parsed Gypsumhub header fields.
struct caller_request {
    inbound_message message;
    /// From `Gypsumhub-Request-Id`, or generated.
    std::string id;
    /// From `Gypsumhub-Deadline`; `never` until the service's default is applied.
    time_point deadline { never };
    std::string idempotencyKey;
    /// From `Gypsumhub-Attempt`; 0 when the field is absent.
    uint32_t attempt { 0 };
    /// Whether another node forwarded the request; it must not be forwarded again.
    bool forwarded { false };
    /// W3C `traceparent` as received, or empty.
    std::string traceparent;
    /// The span of the whole request; does nothing when tracing is off.
    request_span span {};
};

/// Parses the Gypsumhub header fields of `request.message` into the other members. Returns `Ok`, `DeadlineInvalid` or
/// `MalformedRequest`.
auto readGypsumhubFields(caller_request& request, random_generator&) -> result_code;

/// Returns the path of a request target, without the query.
auto pathOf(std::string_view target) -> std::string_view;

/// Returns the percent-decoded value of a query parameter, or empty.
auto queryParameter(std::string_view target, std::string_view name) -> std::string;

} // namespace gypsumhub
