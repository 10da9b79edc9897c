#pragma once

#include "fakes/schedule.h"

#include <cstdint>
#include <vector>

namespace gypsumhub {

/// Counts and times from one run of a schedule.
struct schedule_result {
    uint64_t requests { 0 };
    uint64_t answered { 0 };
    /// Refused requests, by the reported outcome: not run or unknown.
    uint64_t refusedNotRun { 0 };
    uint64_t refusedUnknown { 0 };
    /// First attempts and all attempts whose connection to a target succeeded.
    uint64_t firstAttempts { 0 };
    uint64_t attempts { 0 };

    /// Violations of guarantees. Each must stay 0.
    uint64_t duplicateExecutions { 0 };
    uint64_t falseNotRun { 0 };
    uint64_t wrongOrCutAnswers { 0 };
    uint64_t floorViolations { 0 };

    /// Ejections of targets without a fault. Repeated ejections of a target within a minute count once.
    uint64_t falseEjections { 0 };
    /// Requests that arrived at a target while it was faulty.
    uint64_t requestsToFaultyTargets { 0 };
    /// Requests that targets shed because all slots were in use.
    uint64_t shed { 0 };
    /// For each fault: time until no node sent the target ordinary traffic, or the duration of the fault if at least one node always did.
    std::vector<duration> detection;
    /// Requests that each target accepted.
    std::vector<uint64_t> taken;
    /// Requests that callers sent, and requests that were answered, in each second.
    std::vector<uint32_t> offeredPerSecond;
    std::vector<uint32_t> answeredPerSecond;
};

/// Jain's fairness index of the counts: 1 when all are equal.
auto jainIndex(const std::vector<uint64_t>&) -> double;

} // namespace gypsumhub
