#pragma once

#include "gypsumhub/core/time_point.h"

#include <optional>

namespace gypsumhub {

/// Tracks this node's own connectivity: whether its process was paused, whether a peer has answered since, and whether the
/// node is isolated from all peers. A node that was paused or is isolated must not declare others dead.
class connectivity_monitor {
public:
    /// `maxTickGap`: a longer time without activity is a pause. `isolationTimeout`: no ping or answer for this time is isolation.
    connectivity_monitor(duration maxTickGap, duration isolationTimeout);

    /// Starts the isolation timeout.
    auto start(time_point now) -> void;

    /// Records that the process is running. Returns the length of a pause that just ended.
    auto recordActivity(time_point now) -> std::optional<duration>;

    /// Records a ping or an answer of a peer. It may have waited in a socket during a pause, so it does not affect `hasAnswer`.
    auto recordMessage(time_point now) -> void;

    /// Records that a peer answered a probe that was sent since the start or the last pause.
    auto recordAnswer() -> void { m_answered = true; }

    /// Re-evaluates isolation by the time since the last ping or answer; `peersExpected` is false when no other node is reachable.
    auto update(time_point now, bool peersExpected) -> void;

    /// Whether a peer answered since the start and since the last pause.
    auto hasAnswer() const -> bool { return m_answered; }
    auto isIsolated() const -> bool { return m_isolated; }

private:
    duration m_maxTickGap;
    duration m_isolationTimeout;
    bool m_answered { false };
    bool m_isolated { false };
    /// When the node becomes isolated if it receives no ping or answer before.
    time_point m_isolatedFrom { never };
    /// Activity at or after this time ends a pause.
    time_point m_pausedAfter { never };
};

} // namespace gypsumhub
