#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/result_code.h"

#include <string_view>

namespace gypsumhub {

/// Checks the raw bytes of a request's head, up to and including the empty line or as far as they have arrived. Every line must
/// end with CR LF; a bare CR or LF, a folded line or any control byte except tab is refused. Returns `Ok` or `MalformedRequest`.
auto checkHeadBytes(std::string_view head) -> result_code;

/// Checks a parsed head: version, method, target, `Host`, one unambiguous length, and no repeated control field.
/// `Ok`, `MalformedRequest` or `AmbiguousFraming`.
auto checkHeadFields(const http::request_header<>&) -> result_code;

} // namespace gypsumhub
