#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Kinds of faults and operator actions that a run injects.
enum class soak_event_kind : uint8_t {
    /// SIGKILL, and a restart at the end of the event.
    KillNode,
    /// SIGTERM, and a restart after the process has exited.
    StopNode,
    /// SIGSTOP, and SIGCONT at the end of the event.
    PauseNode,
    /// SIGHUP after a rewrite of the settings file.
    ReloadNode,
    /// The operator writes a configuration that switches the routes to the other service.
    Configure,
    /// The store closes every connection without an answer.
    StoreOutage,
    /// The store ends all leases at once.
    StoreEndsLeases,
    /// Faults of the connections of one node to the store: delayed, reset, held in one direction or in both.
    StoreLinkSlow,
    StoreLinkReset,
    StoreLinkHeldOut,
    StoreLinkHeldBack,
    StoreLinkSilent,
    /// Faults of the connections of all nodes to one target.
    TargetLinkSlow,
    TargetLinkReset,
    TargetLinkHeldBack,
    TargetLinkSilent,
    /// One target answers 500, declines requests, or closes the connection before or within its answer.
    TargetFails,
    TargetSheds,
    TargetDrops,
    TargetCuts,
    /// One target reports that it is draining, and is ready again at the end of the event.
    TargetDrains,
};

/// Returns the name of an event as printed in plans.
auto nameOf(soak_event_kind) -> std::string_view;

/// One event of a run. Both instants are relative to the start of the run.
struct soak_event {
    soak_event_kind kind {};
    /// Index of a node or a target, depending on the kind; unused for events of the store as a whole.
    uint32_t subject { 0 };
    time_point from;
    time_point until;
};

/// Size of a run.
struct soak_settings {
    uint32_t nodes { 4 };
    uint32_t targets { 8 };
    uint32_t callers { 6 };
    /// Events start within this time.
    duration length { seconds(10) };
    uint32_t events { 14 };
};

/// Returns the events for a seed, sorted by start. Events may overlap or form a series. Each event ends no later than 1.5 s after
/// `length`.
auto makeSoakPlan(uint64_t seed, const soak_settings&) -> std::vector<soak_event>;

} // namespace gypsumhub
