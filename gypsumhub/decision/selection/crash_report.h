#pragma once

#include "gypsumhub/core/time_point.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// Identifies what is asked for, however often it is sent: a hash of host, method, path, query, credentials and body, without
/// the id of the request. A request has two: one for its content alone, and one for its content as asked for by its caller.
struct request_fingerprint {
    uint64_t high { 0 };
    /// The lowest bit tells whether the caller is left out.
    uint64_t low { 0 };

    auto isOfAnyCaller() const -> bool { return (low & 1) != 0; }
    auto operator<=>(const request_fingerprint&) const = default;
};

/// Both fingerprints of a request.
struct request_identity {
    request_fingerprint ofCaller;
    request_fingerprint ofAnyCaller;
};

/// A target that ended with requests in flight, as one node saw it. Reports of several nodes about one incarnation add up.
struct crash_report {
    std::string target;
    uint64_t incarnation { 0 };
    std::string service;
    time_point at;
    /// Both fingerprints of the requests of the reporting node that were in flight at the target. Each of them may have caused the
    /// crash.
    std::vector<request_fingerprint> inFlight;
};

/// A request that is not sent to targets until `until`, since it crashes them.
struct quarantined_request {
    request_fingerprint fingerprint;
    time_point until;
};

} // namespace gypsumhub
