#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace gypsumhub {

/// A probe that awaits its answer.
struct outstanding_probe {
    uint64_t sequence { 0 };
    node_key subject;
    /// When others are asked.
    time_point indirectProbesAt;
    /// When the probe counts as failed.
    time_point failsAt;
    bool indirectProbesRequested { false };
    bool hasHelpers { false };
    /// A helper answered that it cannot reach the subject either: the fault is not in this node's own hearing.
    bool helperConfirmed { false };
    /// The peer for which the subject is probed, when this node is the helper.
    std::optional<node_key> origin {};
    uint64_t originSequence { 0 };
};

/// The probes that await their answers.
class probe_table {
public:
    /// Adds a probe under a new sequence number, which is returned.
    auto add(outstanding_probe) -> uint64_t;

    auto find(uint64_t sequence) -> outstanding_probe*;

    /// Removes and returns the probe.
    auto take(uint64_t sequence) -> std::optional<outstanding_probe>;

    /// Removes and returns those that have failed by `now`.
    auto takeFailed(time_point now) -> std::vector<outstanding_probe>;

    /// The probe that waits for its subject and should be given helpers by `now`, or null.
    auto findOverdue(time_point now) -> outstanding_probe*;

    auto clear() -> void { m_probes.clear(); }

private:
    std::vector<outstanding_probe> m_probes;
    uint64_t m_lastSequence { 0 };
};

} // namespace gypsumhub
