#pragma once

#include "gypsumhub/core/strong_id.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// The nodes of which there is news to spread, with how often it is still to be told. News goes out a few times at once in
/// messages of its own and later only along with probes, which cost no frame.
class gossip_queue {
public:
    /// Starts to spread news of `node`, from anew if some is under way. `fleetSize` sets how often it is told.
    auto add(node_key node, std::size_t fleetSize) -> void;

    /// Up to `limit` nodes, those told least first; counts them as told.
    auto takeForProbe(std::size_t limit) -> std::vector<node_key>;

    /// Up to `limit` nodes whose news is fresh; counts them as told `receivers` times.
    auto takeFresh(std::size_t limit, uint32_t receivers) -> std::vector<node_key>;

    auto hasFresh() const -> bool;

private:
    struct entry {
        node_key node;
        uint32_t sendsLeft;
        uint32_t freshSendsLeft;
    };

    auto dropExhausted() -> void;

    std::vector<entry> m_entries;
};

} // namespace gypsumhub
