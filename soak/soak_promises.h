#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace gypsumhub {

/// One request as observed by its caller.
struct soak_call {
    std::string id;
    bool isRetryable { false };
    uint32_t node { 0 };
    time_point sentAt;
    time_point endedAt;
    /// 0 when the connection closed, or the caller timed out, without a complete answer.
    unsigned status { 0 };
    /// With status 0: true when the caller timed out, false when the connection closed.
    bool isOverdue { false };
    /// The request id in the answer, and the target that signed the answer; `target` is empty for answers of the node itself.
    std::string answeredId;
    std::string target;
};

/// An interval in which one node, or with `allNodes` every node, is exempt from some guarantees.
struct soak_exemption {
    static constexpr auto allNodes = UINT32_MAX;

    uint32_t node { allNodes };
    time_point from;
    time_point until;
};

/// Observations of one run, made outside of the nodes.
struct soak_record {
    std::vector<soak_call> calls;
    /// Intervals in which a node was killed, paused or not running, including the time to catch up.
    std::vector<soak_exemption> nodeOutages;
    /// Intervals in which the store or the link of a node to it had a fault, including the time to recover.
    std::vector<soak_exemption> storeFaults;

    /// A configuration that the operator wrote.
    struct configuration {
        /// Prefix of the ids of all targets of the service in force.
        std::string targetPrefix;
        time_point acknowledgedAt;
    };
    std::vector<configuration> configurations;

    /// A target that drained until an instant.
    struct drain {
        std::string target;
        time_point acknowledgedAt;
        time_point until;
    };
    std::vector<drain> drains;

    /// A request that a target received; `isRun` when the target executed it.
    struct arrival {
        std::string target;
        std::string requestId;
        time_point at;
        bool isRun { false };
    };
    /// Requests received by the targets, sorted by time.
    std::vector<arrival> arrivals;

    /// Unexpected exits of nodes, shutdowns that failed or exceeded their time limit, and nodes that were not ready in time.
    std::vector<std::string> exits;
    /// Time from which every request must succeed: all events have ended and the nodes had time to recover.
    time_point steadyFrom;
};

/// Bounds from the users' documents that the checks use.
struct soak_bounds {
    /// Time after which a new configuration must be in force on every node.
    duration configuration { seconds(3) };
    /// Time after which a draining target must not receive requests.
    duration drain { seconds(4) };
    /// Permitted retries: this fraction of all calls, plus a reserve for each 10 s of the run and one more. The nodes of a run use the
    /// same values, the defaults of `gateway_settings`.
    double retryShare { 0.2 };
    double retryReserve { 60 };
};

/// Checks the guarantees to callers and targets. Returns one line for each violation, up to five for each guarantee and a count of the
/// others; empty when all guarantees held.
auto findViolations(const soak_record&, const soak_bounds&) -> std::vector<std::string>;

} // namespace gypsumhub
