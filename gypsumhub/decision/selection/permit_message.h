#pragma once

#include "gypsumhub/decision/selection/target_limit.h"

namespace gypsumhub {

/// A node's request for permits to send requests to a target that states a limit.
struct permit_request {
    /// The limit as known to the node that asks.
    target_limit limit;
    /// Name of the node that asks and receives the answer.
    std::string asker;
    /// Number of the request, unique at the asker.
    uint64_t ticket { 0 };
    uint32_t count { 0 };
    /// Already passed on once by a node that does not issue the permits of this target.
    bool isForwarded { false };
};

/// The answer to a permit request.
struct permit_grant {
    /// The limit as known to the issuer, or that there is none any more.
    target_limit limit;
    uint64_t ticket { 0 };
    /// Permits granted; fewer than requested, or none, when the limit is reached.
    uint32_t count { 0 };
    /// When to ask again, if fewer were granted than requested.
    duration retryAfter;
};

} // namespace gypsumhub
