#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace gypsumhub {

enum class soak_event_kind : uint8_t {
    /// SIGKILL, and a new process at the end.
    KillNode,
    /// SIGTERM, and a new process after it has ended.
    StopNode,
    /// SIGSTOP, and SIGCONT at the end.
    PauseNode,
    /// SIGHUP with settings that have changed.
    ReloadNode,
    /// The operator writes a configuration that moves the routes to the other service.
    Configure,
    /// The store closes every connection without an answer.
    StoreAway,
    /// All leases end at once.
    StoreForgets,
    /// One node's connections to the store: late, reset, held in one direction or in both.
    StoreLinkSlow,
    StoreLinkReset,
    StoreLinkHeldOut,
    StoreLinkHeldBack,
    StoreLinkSilent,
    /// The connections of all nodes to one target.
    TargetLinkSlow,
    TargetLinkReset,
    TargetLinkHeldBack,
    TargetLinkSilent,
    /// One target answers 500, declines, breaks off before or within its answer.
    TargetFails,
    TargetSheds,
    TargetDrops,
    TargetCuts,
    /// One target reports that it drains, and is ready again at the end.
    TargetDrains,
};

auto nameOf(soak_event_kind) -> std::string_view;

/// One disturbance of a run; both instants count from its start.
struct soak_event {
    soak_event_kind kind {};
    /// A node or a target, by the kind.
    uint32_t subject { 0 };
    time_point from;
    time_point until;
};

struct soak_settings {
    uint32_t nodes { 4 };
    uint32_t targets { 8 };
    uint32_t callers { 6 };
    /// Disturbances begin in this time.
    duration length { seconds(10) };
    uint32_t events { 14 };
};

/// A seed's disturbances in order of time. They overlap and come in series; each has ended 1.5 s after `length`.
auto makeSoakPlan(uint64_t seed, const soak_settings&) -> std::vector<soak_event>;

} // namespace gypsumhub
