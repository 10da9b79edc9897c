#pragma once

#include "gypsumhub/core/time_point.h"

#include <optional>

namespace gypsumhub {

/// Judges this node's own hearing: whether its process was paused, whether a peer has answered since, and whether it is cut
/// off from everybody. A node that cannot trust its hearing must not accuse others.
class connectivity_monitor {
public:
    /// `maxTickGap`: a longer time without activity is a pause. `isolationTimeout`: hearing nobody for so long is a cut.
    connectivity_monitor(duration maxTickGap, duration isolationTimeout);

    /// From now on peers should be heard.
    auto start(time_point now) -> void;

    /// Notes that the process runs. Returns the length of a pause that ended just now.
    auto recordActivity(time_point now) -> std::optional<duration>;

    /// A peer was heard; the message may have waited in a socket during a pause.
    auto recordMessage(time_point now) -> void;

    /// A peer answered what was asked since the start or the last pause.
    auto recordAnswer() -> void { m_answered = true; }

    /// Judges the time since a peer was last heard; `peersExpected` is false when there is nobody to hear.
    auto update(time_point now, bool peersExpected) -> void;

    /// Whether a peer answered since the start and since the last pause.
    auto hasAnswer() const -> bool { return m_answered; }
    auto isIsolated() const -> bool { return m_isolated; }

private:
    duration m_maxTickGap;
    duration m_isolationTimeout;
    bool m_answered { false };
    bool m_isolated { false };
    time_point m_isolatedFrom { never };
    time_point m_pausedAfter { never };
};

} // namespace gypsumhub
