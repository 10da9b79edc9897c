#pragma once

#include "gypsumhub/core/asio_types.h"

namespace gypsumhub {

/// Whether the head of a target's answer states that the target is leaving. Any value other than 1 states nothing.
auto statesLeaving(const http::fields&) -> bool;

} // namespace gypsumhub
