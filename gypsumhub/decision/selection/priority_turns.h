#pragma once

#include "gypsumhub/decision/selection/placement_queue.h"

#include <functional>
#include <map>

namespace gypsumhub {

/// Decides which priority of a queue comes next. The most urgent one does, except that one in eight consecutive placements belongs to each
/// lower priority that waits.
///
/// Answers the load of a lasting overload with urgent requests alone, in which other requests would never be served. A lower priority
/// has no turn while a larger share of its requests is served than of the most urgent ones that wait.
class priority_turns {
public:
    /// While requests of a lower priority wait, one in so many consecutive placements is theirs.
    static constexpr auto placementsPerTurn = 8U;

    /// Finds the share of the recent requests of a priority that were served.
    using share_lookup = std::function<double(uint32_t priority)>;

    /// The request to place next.
    auto next(const placement_queue&, const share_lookup&) const -> std::optional<waiting_request>;
    /// Records a placement while the requests of the queue wait.
    auto recordPlaced(uint32_t priority, const placement_queue&) -> void;

private:
    /// By waiting priority, the consecutive placements of more urgent requests.
    std::map<uint32_t, uint32_t> m_passedOver;
};

} // namespace gypsumhub
