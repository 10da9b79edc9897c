#include "gypsumhub/proxy/closing_connection.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"
#include "gypsumhub/core/socket_state.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto checkInterval = milliseconds(20);
    // Discarded in total, at least; enough for the rest of a body of the greatest size.
    constexpr auto minDiscardedBytes = size_t { 1024 * 1024 };
    // Read at once, so that one caller does not hold up the others.
    constexpr auto maxBytesOfCheck = size_t { 256 * 1024 };

} // namespace

closing_connection::closing_connection(tcp_socket& socket, bool isRefusal, size_t maxBodyBytes)
    : m_socket(socket)
    , m_wait(bootClockNow(), isRefusal, std::max(minDiscardedBytes, 2 * maxBodyBytes))
{
    auto ignored = error_code {};
    m_socket.shutdown(tcp_socket::shutdown_send, ignored);
}

auto closing_connection::wait() -> task<bool>
{
    auto timer = steady_timer(m_socket.get_executor());
    while (m_socket.is_open() && !check())
        co_await sleepUntil(timer, bootClockNow() + checkInterval);
    co_return m_hasEnded || m_wait.isDelivered();
}

auto closing_connection::check() -> bool
{
    auto now = bootClockNow();
    m_wait.recordUnsent(unsentBytes(m_socket), now);
    if (m_wait.mayDiscard(unreadBytes(m_socket)) || hasPeerClosed(m_socket)) {
        auto discarded = discardUnread(m_socket, maxBytesOfCheck);
        if (discarded.count > 0)
            m_wait.recordDiscarded(discarded.count, now);
        m_hasEnded = discarded.hasEnded;
    }
    return m_hasEnded || m_wait.isOver(now);
}

auto closeBehindAnswer(tcp_socket& socket) -> void
{
    if (!socket.is_open())
        return;
    auto ignored = error_code {};
    socket.shutdown(tcp_socket::shutdown_send, ignored);
    discardUnread(socket, maxBytesOfCheck);
    socket.close(ignored);
}

} // namespace gypsumhub
