#pragma once

#include "gypsumhub/core/time_point.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// Identifies what a caller asks for, however often it is sent: a hash of the caller's address, host, method, path, query and body,
/// without the id of the request.
struct request_fingerprint {
    uint64_t high { 0 };
    uint64_t low { 0 };

    auto operator<=>(const request_fingerprint&) const = default;
};

/// A target that ended with requests in flight, as one node saw it. Reports of several nodes about one incarnation add up.
struct crash_report {
    std::string target;
    uint64_t incarnation { 0 };
    std::string service;
    time_point at;
    /// The requests of the reporting node that were in flight at the target. Each of them may have caused the crash.
    std::vector<request_fingerprint> inFlight;
};

/// A request that is not sent to targets until `until`, since it crashes them.
struct quarantined_request {
    request_fingerprint fingerprint;
    time_point until;
};

} // namespace gypsumhub
