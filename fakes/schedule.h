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

/// One user's installation as the model needs it: four data centres in two regions.
struct schedule_deployment {
    std::string name;
    uint16_t slots { 4 };
    /// One way between data centres of a region, between regions, and between callers and nodes.
    duration betweenDataCentres;
    duration betweenRegions;
    duration toCallers;
    ejection_preference preference { ejection_preference::Balanced };
};

/// The Association's installation: 4 slots, detection weighs more.
auto associationDeployment() -> schedule_deployment;
/// Wróblewski's installation: 3 slots, false ejections weigh more.
auto wroblewskiDeployment() -> schedule_deployment;

/// Ways in which a target, or the way to it, goes bad.
enum class fault_kind : uint8_t {
    Slow,
    Errors,
    HalfErrors,
    WrongAnswers,
    CutAnswers,
    Silent,
    HangAfterHeader,
    Flapping,
    /// Nodes of one data centre get no answer; all others do.
    AsymmetricPath,
    /// Kept connections of one node are silent, new ones work.
    DeadConnections,
    ColdStart,
    Drain,
    /// Every target is slow: nobody is to blame.
    WholeServiceSlow,
    /// The VM is gone: connecting fails.
    Vanished,
};

/// Number of fault kinds.
constexpr auto faultKindCount = static_cast<size_t>(fault_kind::Vanished) + 1;

/// "slow", "errors" and so on.
auto toString(fault_kind) -> std::string_view;

/// Whether the fault is the target's own and should end in its ejection.
auto isTargetFault(fault_kind) -> bool;

/// One fault of one target.
struct schedule_fault {
    fault_kind kind { fault_kind::Slow };
    size_t target { 0 };
    time_point from;
    time_point until;
};

/// A rate of requests that holds from an instant on.
struct schedule_load {
    time_point from;
    double requestsPerSecond { 0 };
};

/// A course of events for one service: load and faults, fully determined by its content.
struct schedule {
    schedule_deployment deployment;
    size_t targets { 8 };
    uint32_t floorPercent { 70 };
    /// Most members of the group in each data centre.
    size_t membersPerDataCentre { 3 };
    std::vector<schedule_load> loads;
    std::vector<schedule_fault> faults;
    time_point until;
    duration deadline { seconds(3) };
    uint64_t seed { 1 };
    /// Whether callers send a refused or unanswered idempotent request again, up to twice.
    bool callersRetry { false };
};

/// Requests a second that the schedule makes at an instant.
auto rateAt(const schedule&, time_point) -> double;

/// A random schedule with several faults at once and in sequence.
auto makeRandomSchedule(const schedule_deployment&, uint64_t seed) -> schedule;

/// Nodes in each data centre, which all belong to the service's group.
auto nodesPerDataCentre(const schedule&) -> size_t;

/// Register and rules of the schedule's one service, and the nodes of its group.
auto makeConfiguration(const schedule&) -> std::shared_ptr<const configuration>;

/// Data centre of a node or a target by index; they take turns.
constexpr auto dataCentreOf(size_t index) -> size_t { return index % 4; }

/// One-way delay between two data centres.
auto delayBetween(const schedule_deployment&, size_t dataCentre, size_t other) -> duration;

} // namespace gypsumhub
