#pragma once

#include "gypsumhub/core/strong_id.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// Nodes whose state changed, with the number of transmissions left. A fresh claim is sent a few times at once in separate
/// gossip messages and later only piggybacked on probes, which needs no extra frames.
class gossip_queue {
public:
    /// Queues `node`, or restarts its transmissions if it is queued already. Their number grows with the logarithm of `fleetSize`.
    auto add(node_key node, std::size_t fleetSize) -> void;

    /// Returns up to `limit` nodes, those sent least first, and counts one transmission each.
    auto takeForProbe(std::size_t limit) -> std::vector<node_key>;

    /// Returns up to `limit` fresh nodes, those with separate transmissions left, and counts `receivers` of these for each.
    auto takeFresh(std::size_t limit, uint32_t receivers) -> std::vector<node_key>;

    auto hasFresh() const -> bool;

private:
    /// A queued node with its remaining transmissions.
    struct entry {
        node_key node;
        uint32_t sendsLeft;
        uint32_t freshSendsLeft;
    };

    auto dropExhausted() -> void;

    std::vector<entry> m_entries;
};

} // namespace gypsumhub
