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

/// Requests that the replay generates: a Poisson process, each request sent to a target that its node selects from its own snapshot.
struct replay_load {
    service_key service;
    time_point until;
    /// Total over all driven nodes.
    double requestsPerSecond { 0 };
    /// Log-normal latency of a healthy target.
    double medianMs { 25 };
    double sigma { 0.8 };
    /// Fraction of the answers of a healthy target that are errors.
    double errorShare { 0.005 };
    /// Time after which a request without an answer is cancelled.
    duration deadline { seconds(3) };
};

/// A fault of targets, which changes how exchanges with them end until `until`.
struct replay_fault {
    /// Empty stands for all.
    std::vector<vm_key> targets;
    /// Nodes whose exchanges are affected; empty stands for all.
    std::vector<node_key> nodes;
    time_point until;
    /// Result of affected exchanges, and the fraction of exchanges that the fault affects.
    attempt_result result { attempt_result::Success };
    double share { 1 };
    /// Factor on the latency of affected exchanges.
    double slowdown { 1 };
    /// Affects only exchanges over pooled connections, until the node closes these.
    bool keptConnections { false };
    /// Whether the fault also affects probes.
    bool probesFail { false };
};

/// An event for the decision cores of one node, or of all nodes when `allNodes` is set.
struct replay_decision_event {
    node_key node;
    bool allNodes { false };
    decision_event event;
};

/// A trace line that takes effect at an instant.
struct replay_event {
    time_point at;
    std::variant<replay_decision_event, replay_load, replay_fault> content;
};

/// Kinds of outcomes that a trace can expect.
enum class outcome_kind : uint8_t {
    /// Ejected, leaving or demoted on every driven node between `from` and `at`.
    EjectedBy,
    LeavingBy,
    DemotedBy,
    /// Not ejected on any driven node from `from` to `at`. Without a target, for all targets of the service.
    NeverEjected,
    /// In rotation on every driven node at `at`.
    InRotationAt,
    /// Out of rotation on every driven node at `at`.
    OutOfRotationAt,
    /// At least `limit` targets of the service in rotation on each node at all times from `from` on.
    AtLeastInRotation,
    /// The target receives at most the fraction `limit` of the requests of the service from `from` to `at`.
    WorkShareAtMost,
    /// At most `limit` probes in the whole replay.
    ProbesAtMost,
};

/// An outcome that the trace expects: its kind, its target or service, and its time range and limit.
struct expected_outcome {
    outcome_kind kind { outcome_kind::NeverEjected };
    vm_key target;
    service_key service;
    time_point from;
    time_point at;
    double limit { 0 };
    /// Line number in the trace, for messages.
    uint32_t line { 0 };
    /// Name of the target or service, for messages.
    std::string name;
};

/// A parsed trace: configuration, events sorted by time, and expected outcomes. docs/design/replay.md describes the format.
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
