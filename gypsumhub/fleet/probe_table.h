#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace gypsumhub {

/// A probe that waits for its answer.
struct outstanding_probe {
    uint64_t sequence { 0 };
    node_key subject;
    /// When indirect probes are requested.
    time_point indirectProbesAt;
    /// When the probe counts as failed.
    time_point failsAt;
    bool indirectProbesRequested { false };
    bool hasHelpers { false };
    /// A helper reported that it cannot reach the subject either, so the failure is not in this node's own connectivity.
    bool helperConfirmed { false };
    /// The peer on whose behalf the subject is probed, when this node is the helper.
    std::optional<node_key> origin {};
    /// Sequence number of the origin's probe.
    uint64_t originSequence { 0 };
};

/// The probes that wait for their answers.
class probe_table {
public:
    /// Adds a probe under a new sequence number and returns that number.
    auto add(outstanding_probe) -> uint64_t;

    auto find(uint64_t sequence) -> outstanding_probe*;

    /// Removes and returns the probe.
    auto take(uint64_t sequence) -> std::optional<outstanding_probe>;

    /// Removes and returns the probes that have failed by `now`.
    auto takeFailed(time_point now) -> std::vector<outstanding_probe>;

    /// A direct probe whose indirect probes are due at `now` and not yet requested, or null.
    auto findOverdue(time_point now) -> outstanding_probe*;

    auto clear() -> void { m_probes.clear(); }

private:
    std::vector<outstanding_probe> m_probes;
    uint64_t m_lastSequence { 0 };
};

} // namespace gypsumhub
