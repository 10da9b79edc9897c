#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace gypsumhub {

/// One request as its caller saw it.
struct soak_call {
    std::string id;
    bool isRetryable { false };
    uint32_t node { 0 };
    time_point sentAt;
    time_point endedAt;
    /// 0 when the connection ended, or the caller gave up, without a complete answer.
    unsigned status { 0 };
    /// The caller gave up waiting; else the connection ended.
    bool isOverdue { false };
    /// The request id that the answer bears, and the target that signed it; empty for answers of the node itself.
    std::string answeredId;
    std::string target;
};

/// A time in which a node, or with `allNodes` every one, need not keep some promise.
struct soak_disturbance {
    static constexpr auto allNodes = UINT32_MAX;

    uint32_t node { allNodes };
    time_point from;
    time_point until;
};

/// What happened in one run, from outside the nodes.
struct soak_record {
    std::vector<soak_call> calls;
    /// Times in which a node was killed, paused or not there.
    std::vector<soak_disturbance> absences;
    /// Times in which the store or a node's link to it was disturbed.
    std::vector<soak_disturbance> storeTroubles;

    struct configuration {
        /// Targets of the service in force have ids that begin so.
        std::string targetPrefix;
        time_point acknowledgedAt;
    };
    std::vector<configuration> configurations;

    struct drain {
        std::string target;
        time_point acknowledgedAt;
        time_point until;
    };
    std::vector<drain> drains;

    struct arrival {
        std::string target;
        std::string requestId;
        time_point at;
        bool isRun { false };
    };
    /// Requests as the targets saw them, in order of time.
    std::vector<arrival> arrivals;

    /// Exits of nodes that nobody asked for, and planned stops that took too long.
    std::vector<std::string> exits;
    /// When every disturbance was over and had been given time.
    time_point calmFrom;
};

/// Bounds of the users' pages that the checks use.
struct soak_bounds {
    duration configuration { seconds(3) };
    duration contact { seconds(4) };
    double retryShare { 0.2 };
    double retryReserve { 60 };
};

/// The promises that a run broke, one line each; empty when all held.
auto findBrokenPromises(const soak_record&, const soak_bounds&) -> std::vector<std::string>;

} // namespace gypsumhub
