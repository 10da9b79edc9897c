#include "gypsumhub/proxy/target_connection.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace gypsumhub {

namespace {

    auto toSteady(time_point instant) -> std::chrono::steady_clock::time_point
    {
        return std::chrono::steady_clock::time_point(std::chrono::nanoseconds(instant.ns));
    }

} // namespace

target_connection::target_connection(asio::io_context& context)
    : m_socket(context)
    , m_timer(context)
{
}

auto target_connection::connect(const endpoint& to, time_point deadline) -> task<error_code>
{
    auto error = error_code {};
    auto address = asio::ip::make_address(to.address, error);
    if (error)
        co_return error;
    auto self = shared_from_this();
    m_timer.expires_at(toSteady(deadline));
    m_timer.async_wait([self](const error_code& waited) {
        if (!waited && !self->m_active)
            self->abort(abort_reason::DeadlinePassed);
    });
    auto remote = tcp::endpoint(address, to.port);
    auto [failed] = co_await m_socket.async_connect(remote, useTask);
    m_timer.cancel();
    if (m_abortReason != abort_reason::None)
        co_return asio::error::timed_out;
    if (!failed)
        m_socket.set_option(tcp::no_delay(true), error);
    co_return failed;
}

auto target_connection::beginExchange(const exchange_limits& limits, std::function<void()> onOverdue) -> void
{
    m_limits = limits;
    m_onOverdue = std::move(onOverdue);
    m_active = true;
    m_answerStarted = false;
    ++m_exchanges;
    armTimer();
}

auto target_connection::endExchange() -> void
{
    m_active = false;
    m_onOverdue = nullptr;
    m_timer.cancel();
}

auto target_connection::abort(abort_reason reason) -> void
{
    if (m_abortReason == abort_reason::None)
        m_abortReason = reason;
    auto ignored = error_code {};
    m_socket.close(ignored);
}

auto target_connection::isUsable() -> bool
{
    if (!m_socket.is_open() || m_buffer.size() > 0)
        return false;
    auto byte = char {};
    auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Any other result is an end of stream, an error or unexpected bytes.
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto target_connection::armTimer() -> void
{
    m_timer.expires_at(toSteady(nextTimeout()));
    m_timer.async_wait([self = shared_from_this(), exchange = m_exchanges](const error_code& error) {
        if (!error)
            self->onTimer(exchange);
    });
}

auto target_connection::nextTimeout() const -> time_point
{
    auto wake = m_limits.deadline;
    if (m_onOverdue)
        wake = std::min(wake, m_limits.overdueAt);
    if (!m_answerStarted)
        wake = std::min(wake, m_limits.silentAt);
    return wake;
}

auto target_connection::onTimer(uint64_t exchange) -> void
{
    // A timer that expired just before its exchange ended must not affect the next exchange.
    if (!m_active || exchange != m_exchanges)
        return;
    auto now = steadyClockNow();
    if (now >= m_limits.overdueAt) {
        if (auto report = std::exchange(m_onOverdue, nullptr))
            report();
    }
    if (now >= m_limits.deadline)
        return abort(abort_reason::DeadlinePassed);
    if (!m_answerStarted && now >= m_limits.silentAt)
        return abort(abort_reason::SilentConnection);
    if (m_answerStarted)
        m_limits.silentAt = never;
    armTimer();
}

} // namespace gypsumhub
