#include "gypsumhub/core/deadline_timer.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace gypsumhub {

namespace {

    auto timeUntil(time_point deadline) -> std::chrono::nanoseconds
    {
        return std::chrono::nanoseconds(std::max<int64_t>((deadline - bootClockNow()).ns, 0));
    }

} // namespace

deadline_timer::deadline_timer(io_executor executor)
    : m_timer(executor)
{
}

deadline_timer::~deadline_timer()
{
    disarm();
}

auto deadline_timer::arm(time_point deadline, std::function<void()> onDeadline) -> void
{
    disarm();
    m_armed = std::make_shared<std::function<void()>>(std::move(onDeadline));
    m_timer.expires_after(timeUntil(deadline));
    m_timer.async_wait([armed = m_armed](const error_code& error) {
        if (!error && *armed)
            (*armed)();
    });
}

auto deadline_timer::disarm() -> void
{
    if (!m_armed)
        return;
    *m_armed = nullptr;
    m_armed.reset();
    m_timer.cancel();
}

auto sleepUntil(steady_timer& timer, time_point deadline) -> task<>
{
    timer.expires_after(timeUntil(deadline));
    co_await timer.async_wait(useTask);
}

auto closeNow(tcp_socket& socket) -> void
{
    auto ignored = error_code {};
    socket.close(ignored);
}

auto setShortKeepAlive(tcp_socket& socket) -> void
{
    // Idle seconds before the first keep-alive probe, seconds between probes, and unanswered probes until the connection fails.
    constexpr auto values = std::to_array<std::pair<int, int>>({ { TCP_KEEPIDLE, 1 }, { TCP_KEEPINTVL, 1 }, { TCP_KEEPCNT, 2 } });
    auto ignored = error_code {};
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    for (auto [option, value] : values)
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value));
}

auto setNoDelay(tcp_socket& socket) -> void
{
    auto ignored = error_code {};
    socket.set_option(tcp::no_delay(true), ignored);
}

} // namespace gypsumhub
