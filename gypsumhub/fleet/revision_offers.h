#pragma once

#include "gypsumhub/config/revision.h"
#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/control_meter.h"

#include <deque>
#include <optional>
#include <vector>

namespace gypsumhub {

/// A peer that holds a revision.
struct revision_offer {
    node_key peer;
    revision_id revision;
    peer_distance distance { peer_distance::SameDataCentre };
    /// Before this instant the offer is not used: nearer peers may have it by then, or the peer just failed to deliver.
    time_point usableFrom {};
};

/// The newer revisions that peers have named, and those that were refused after verification.
class revision_offers {
public:
    /// Notes what a peer holds; a later word of the same peer replaces the earlier.
    auto add(const revision_offer&) -> void;

    /// The peer gets no request before this instant.
    auto postpone(node_key peer, time_point usableFrom) -> void;

    /// Never offers this revision again: its history does not continue ours.
    auto refuse(const revision_id&) -> void;
    auto isRefused(const revision_id&) const -> bool;

    /// Forgets offers that lead no further than `current`.
    auto dropUpTo(const revision_id& current) -> void;

    /// The offer to use now: the revision that the most peers name among those with the highest number, from the nearest peer.
    /// `preferred` is taken if somebody offers it, so that a transfer under way is resumed.
    auto best(time_point now, const std::optional<revision_id>& preferred) const -> std::optional<revision_offer>;

    auto empty() const -> bool { return m_offers.empty(); }

private:
    auto countOffers(const revision_id&) const -> std::size_t;

    std::vector<revision_offer> m_offers;
    std::deque<revision_id> m_refused;
};

} // namespace gypsumhub
