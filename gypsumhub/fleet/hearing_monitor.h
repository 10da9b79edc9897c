#pragma once

#include "gypsumhub/core/time_point.h"

#include <optional>

namespace gypsumhub {

/// Judges this node's own hearing: whether its process was paused, whether it has heard a peer since, and whether it is cut
/// off from everybody. A node that cannot trust its hearing must not accuse others.
class hearing_monitor {
public:
    /// `maxTickGap`: a longer time without activity is a pause. `isolationLimit`: hearing nobody for so long is a cut.
    hearing_monitor(duration maxTickGap, duration isolationLimit);

    /// From now on peers should be heard.
    auto start(time_point now) -> void;

    /// Notes that the process runs. Returns the length of a pause that ended just now.
    auto noteActivity(time_point now) -> std::optional<duration>;

    /// A peer was heard.
    auto noteHeard(time_point now) -> void;

    /// Judges the time since a peer was last heard; `othersExpected` is false when there is nobody to hear.
    auto update(time_point now, bool othersExpected) -> void;

    /// Whether a peer was heard since the start and since the last pause.
    auto hasHeard() const -> bool { return m_heard; }
    auto isIsolated() const -> bool { return m_isolated; }

private:
    duration m_maxTickGap;
    duration m_isolationLimit;
    bool m_heard { false };
    bool m_isolated { false };
    time_point m_isolatedFrom { never };
    time_point m_pausedAfter { never };
};

} // namespace gypsumhub
