#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/time_point.h"

#include <functional>
#include <memory>

namespace gypsumhub {

/// Calls a function once at an instant of the boot-time clock, unless it is disarmed, armed again or destroyed before.
class deadline_timer {
public:
    explicit deadline_timer(io_executor);
    ~deadline_timer();
    deadline_timer(const deadline_timer&) = delete;
    auto operator=(const deadline_timer&) -> deadline_timer& = delete;

    auto arm(time_point deadline, std::function<void()> onDeadline) -> void;
    auto disarm() -> void;

private:
    steady_timer m_timer;
    /// Emptied when the wait is void; a handler that is already queued then does nothing.
    std::shared_ptr<std::function<void()>> m_armed;
};

/// Completes at `deadline`, or as soon as `timer` is cancelled.
auto sleepUntil(steady_timer& timer, time_point deadline) -> task<>;

/// Closes a socket at once; operations on it end with an error.
auto closeNow(tcp_socket&) -> void;

/// Lets the kernel find out within about three seconds that an idle connection's path is dead.
auto setShortKeepAlive(tcp_socket&) -> void;

/// Sends small packets at once.
auto setNoDelay(tcp_socket&) -> void;

} // namespace gypsumhub
