#pragma once

#include "fakes/schedule.h"

#include <cstdint>
#include <vector>

namespace gypsumhub {

/// What one run of a schedule showed.
struct schedule_result {
    uint64_t requests { 0 };
    uint64_t answered { 0 };
    uint64_t refusedNotRun { 0 };
    uint64_t refusedUnknown { 0 };
    /// First attempts and all attempts that reached a target.
    uint64_t firstAttempts { 0 };
    uint64_t attempts { 0 };

    /// Promises; each must stay 0.
    uint64_t duplicateExecutions { 0 };
    uint64_t falseNotRun { 0 };
    uint64_t wrongOrCutAnswers { 0 };
    uint64_t floorViolations { 0 };

    /// Ejections of targets without a fault; those within a minute count once.
    uint64_t falseEjections { 0 };
    /// Requests that a sick target got while it was sick.
    uint64_t requestsToFaultyTargets { 0 };
    /// Requests shed for want of a slot.
    uint64_t shed { 0 };
    /// For each fault of the schedule: how long the target kept getting ordinary work, or the fault's length.
    std::vector<duration> detection;
    /// Requests that each target took.
    std::vector<uint64_t> taken;
    /// Requests made and answered in each second.
    std::vector<uint32_t> offeredPerSecond;
    std::vector<uint32_t> answeredPerSecond;
};

/// Jain's fairness index of the counts: 1 when all are equal.
auto jainIndex(const std::vector<uint64_t>&) -> double;

} // namespace gypsumhub
