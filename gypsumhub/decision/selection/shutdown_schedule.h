#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// The course of a node's shutdown: which requests it still serves, and until when.
///
/// Answers the load of nodes that are stopped in turn under traffic. Callers keep a directory answer for seconds, so requests arrive
/// for most of the shutdown. A request that is sent to a target late would be cut off by the end of the process, so it is refused
/// as not run while another node can still serve it.
class shutdown_schedule {
public:
    /// No shutdown has begun.
    shutdown_schedule() = default;
    /// A shutdown that begins at `now`. The platform kills the process at `killedAt`. A process with few `cores` needs longer for its last
    /// work and ends earlier; 0 if they are not known.
    shutdown_schedule(time_point now, time_point killedAt, double cores = 0);

    auto hasBegun() const -> bool { return m_endsAt != never; }
    /// Brings the end forward for a process that is killed at `killedAt`. Never moves it back. What is open can still be answered, also
    /// when the new end has passed.
    auto bringForward(time_point now, time_point killedAt) -> void;
    /// Whether a request that is ready to be sent at `now` is served. `deadline` is when its caller or its route gives it up.
    auto accepts(time_point now, time_point deadline) const -> bool;
    /// The latest deadline that a target may be given: its answer at that deadline still reaches the caller.
    auto latestDeadline() const -> time_point { return m_latestDeadline; }
    /// From then on a last answer says that its connection is closed behind it, whatever its length. Before that, a caller that keeps its
    /// connection behind an answer still has time to use it again.
    auto announcesCloseFrom() const -> time_point { return m_announcesCloseFrom; }
    /// How long a caller may keep an idle connection from `now` on, in whole seconds as in a Keep-Alive field. 0 if it must not.
    auto idleSeconds(time_point now) const -> int64_t;
    /// From then on the node reads no further request. A request that was not read may be sent again elsewhere.
    auto stopsReadingAt() const -> time_point { return m_stopsReadingAt; }
    /// When the process ends.
    auto endsAt() const -> time_point { return m_endsAt; }
    /// When the process is ended by force if it has not ended on its own.
    auto forcedEndAt() const -> time_point { return m_forcedEndAt; }

private:
    time_point m_beganAt { never };
    double m_cores { 0 };
    time_point m_servesUntil { never };
    time_point m_latestDeadline { never };
    time_point m_announcesCloseFrom { never };
    time_point m_stopsReadingAt { never };
    time_point m_endsAt { never };
    time_point m_forcedEndAt { never };
};

} // namespace gypsumhub
