#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/event.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace gypsumhub {

/// Requests that the replay makes itself: a Poisson stream, each sent to the target that the node's own snapshot leads to.
struct replay_load {
    service_key service;
    time_point until;
    double requestsPerSecond { 0 };
    /// Log-normal latency of a healthy target.
    double medianMs { 25 };
    double sigma { 0.8 };
    /// Share of a healthy target's answers that are errors.
    double errorShare { 0.005 };
    /// Time after which an unanswered request is given up.
    duration deadline { seconds(3) };
};

/// Targets that answer a load in another way for a while.
struct replay_fault {
    /// Empty stands for all.
    std::vector<vm_key> targets;
    /// Nodes whose exchanges suffer; empty stands for all.
    std::vector<node_key> nodes;
    time_point until;
    /// How exchanges end, and the share of them that do.
    attempt_result result { attempt_result::Success };
    double share { 1 };
    /// Factor on the latency.
    double slowdown { 1 };
    /// Only exchanges over kept connections suffer, until the node closes them.
    bool keptConnections { false };
    /// Whether probes suffer too.
    bool probesFail { false };
};

/// An event for the decision cores. Attempts, load reports and evidence go to one node; the others to all.
struct replay_decision_event {
    node_key node;
    bool allNodes { false };
    decision_event event;
};

/// One line of a trace that happens at an instant.
struct replay_event {
    time_point at;
    std::variant<replay_decision_event, replay_load, replay_fault> content;
};

/// What a trace says must come out.
enum class outcome_kind : uint8_t {
    /// Ejected, leaving or demoted on every driven node not later than `at`.
    EjectedBy,
    LeavingBy,
    DemotedBy,
    /// Never ejected on any driven node.
    NeverEjected,
    /// In rotation on every driven node at `at`.
    InRotationAt,
    /// Out of rotation on every driven node at `at`.
    OutOfRotationAt,
    /// At least `limit` targets of the service in rotation on each node at all times.
    AtLeastInRotation,
    /// The target gets at most `limit` of the service's work from `from` to `at`.
    WorkShareAtMost,
    /// At most `limit` probes in the whole run.
    ProbesAtMost,
};

/// One stated outcome.
struct expected_outcome {
    outcome_kind kind { outcome_kind::NeverEjected };
    vm_key target;
    service_key service;
    time_point from;
    time_point at;
    double limit { 0 };
    /// Line of the trace, for messages.
    uint32_t line { 0 };
    /// The target's or service's name, for messages.
    std::string name;
};

/// A trace as read: configuration, events in order of time, stated outcomes. The format: docs/design/replay.md.
struct replay_trace {
    std::shared_ptr<const configuration> config;
    /// Nodes whose decision cores the replay drives.
    std::vector<node_spec> driven;
    uint32_t membersPerDataCentre { 3 };
    uint64_t seed { 1 };
    time_point until;
    std::vector<replay_event> events;
    std::vector<expected_outcome> outcomes;
};

} // namespace gypsumhub
