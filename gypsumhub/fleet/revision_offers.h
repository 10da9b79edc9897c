#pragma once

#include "gypsumhub/config/revision.h"
#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/control_meter.h"

#include <deque>
#include <optional>
#include <vector>

namespace gypsumhub {

/// A revision that a peer has offered by its digest.
struct revision_offer {
    node_key peer;
    revision_id revision;
    peer_distance distance { peer_distance::SameDataCentre };
    /// The offer is not used before this time: nearer peers may have the revision by then, or the peer just failed to deliver.
    time_point usableFrom {};
};

/// Newer revisions that peers have offered, and revisions that were refused.
class revision_offers {
public:
    /// Stores a peer's offer; a later offer of another revision replaces it.
    auto add(const revision_offer&) -> void;

    /// Makes the peer's offer unusable before this time.
    auto postpone(node_key peer, time_point usableFrom) -> void;

    /// Removes the offers of a revision that does not continue this node's history or is invalid, and ignores later offers of it.
    auto refuse(const revision_id&) -> void;
    auto isRefused(const revision_id&) const -> bool;

    /// Removes offers that are no later than `current`.
    auto dropUpTo(const revision_id& current) -> void;

    /// The best usable offer: from the nearest peer, then with the highest number, then from the most peers, then the one added last.
    /// An offer of `preferred` comes before all others, so that a running transfer is resumed.
    auto best(time_point now, const std::optional<revision_id>& preferred) const -> std::optional<revision_offer>;

    auto empty() const -> bool { return m_offers.empty(); }

private:
    auto countOffers(const revision_id&) const -> std::size_t;

    std::vector<revision_offer> m_offers;
    std::deque<revision_id> m_refused;
};

} // namespace gypsumhub
