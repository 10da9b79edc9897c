#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Parameters of one user's installation: four data centres in two regions.
struct schedule_deployment {
    std::string name;
    uint16_t slots { 4 };
    /// One-way delays between data centres of a region, between regions, and between callers and nodes.
    duration betweenDataCentres;
    duration betweenRegions;
    duration toCallers;
    ejection_preference preference { ejection_preference::Balanced };
};

/// The Association's installation: 4 slots per target, prefers fast detection.
auto associationDeployment() -> schedule_deployment;
/// Wróblewski's installation: 3 slots per target, prefers few false ejections.
auto wroblewskiDeployment() -> schedule_deployment;

/// Kinds of faults of a target or of the path to it.
enum class fault_kind : uint8_t {
    Slow,
    Errors,
    HalfErrors,
    WrongAnswers,
    CutAnswers,
    Silent,
    HangAfterHeader,
    Flapping,
    /// Nodes of one data centre get no answers; all others do.
    AsymmetricPath,
    /// The idle connections of one node get no answers; new connections work.
    DeadConnections,
    ColdStart,
    Drain,
    /// Every target is slow, so no target is an outlier.
    WholeServiceSlow,
    /// The VM does not exist any more: connecting fails.
    Vanished,
};

/// Number of fault kinds.
constexpr auto faultKindCount = static_cast<size_t>(fault_kind::Vanished) + 1;

/// The name of a fault in figures, such as "slow" or "errors".
auto toString(fault_kind) -> std::string_view;

/// Whether the target itself is faulty and should be ejected.
auto isTargetFault(fault_kind) -> bool;

/// One fault of one target.
struct schedule_fault {
    fault_kind kind { fault_kind::Slow };
    size_t target { 0 };
    time_point from;
    time_point until;
};

/// A request rate that applies from a point in time.
struct schedule_load {
    time_point from;
    double requestsPerSecond { 0 };
};

/// A deterministic simulation scenario for one service: its load and its faults.
struct schedule {
    schedule_deployment deployment;
    size_t targets { 8 };
    uint32_t floorPercent { 70 };
    /// Maximum number of serving nodes in each data centre.
    size_t membersPerDataCentre { 3 };
    std::vector<schedule_load> loads;
    std::vector<schedule_fault> faults;
    time_point until;
    duration deadline { seconds(3) };
    uint64_t seed { 1 };
    /// Whether callers retry, up to twice, requests that were not run and idempotent requests without an answer.
    bool callersRetry { false };
};

/// The request rate of the schedule at a point in time, per second.
auto rateAt(const schedule&, time_point) -> double;

/// A random schedule with two to five faults, which may overlap.
auto makeRandomSchedule(const schedule_deployment&, uint64_t seed) -> schedule;

/// Number of nodes in each data centre. All of them serve the service.
auto nodesPerDataCentre(const schedule&) -> size_t;

/// The configuration of the schedule: one service with its targets, and the nodes that serve it.
auto makeConfiguration(const schedule&) -> std::shared_ptr<const configuration>;

/// Data centre of a node or a target by index, assigned round robin.
constexpr auto dataCentreOf(size_t index) -> size_t { return index % 4; }

/// One-way delay between two data centres.
auto delayBetween(const schedule_deployment&, size_t dataCentre, size_t other) -> duration;

} // namespace gypsumhub
