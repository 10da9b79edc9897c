#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/time_point.h"

#include <functional>
#include <memory>

namespace gypsumhub {

/// Timer that calls a function once at a deadline of `bootClockNow`, unless it is disarmed, armed again or destroyed before.
class deadline_timer {
public:
    explicit deadline_timer(io_executor);
    ~deadline_timer();
    deadline_timer(const deadline_timer&) = delete;
    auto operator=(const deadline_timer&) -> deadline_timer& = delete;

    /// Calls `onDeadline` at `deadline`, at once if it has passed. Replaces an earlier deadline.
    auto arm(time_point deadline, std::function<void()> onDeadline) -> void;
    /// Cancels the call.
    auto disarm() -> void;

private:
    steady_timer m_timer;
    /// Emptied when the timer is disarmed, so that a handler that is already queued does nothing.
    std::shared_ptr<std::function<void()>> m_armed;
};

/// Completes at `deadline` of `bootClockNow`, or when `timer` is cancelled.
auto sleepUntil(steady_timer& timer, time_point deadline) -> task<>;

/// Closes a socket at once; pending operations on it fail.
auto closeNow(tcp_socket&) -> void;

/// Sets TCP keep-alive, so that the kernel detects within about three seconds that the path of an idle connection has failed.
auto setShortKeepAlive(tcp_socket&) -> void;

/// Disables Nagle's algorithm, so that small packets are sent at once.
auto setNoDelay(tcp_socket&) -> void;

} // namespace gypsumhub
