#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/time_point.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>

namespace gypsumhub {

/// Why this side aborted an exchange.
enum class abort_reason : uint8_t {
    None,
    DeadlinePassed,
    /// No answer head arrived on a reused connection; the request is retried on a new connection.
    SilentConnection,
    CallerDisconnected,
};

/// Time limits of one exchange on the steady clock.
struct exchange_limits {
    /// When the exchange is reported as overdue, or `never`.
    time_point overdueAt { never };
    /// When an exchange without a complete answer head is aborted as `SilentConnection`, or `never`.
    time_point silentAt { never };
    /// When the exchange is aborted as `DeadlinePassed`.
    time_point deadline { never };
};

/// A TCP connection to a target or peer. Carries one exchange at a time; used by one request thread only.
class target_connection : public std::enable_shared_from_this<target_connection> {
public:
    explicit target_connection(asio::io_context&);

    /// Connects; fails with a timeout at `deadline` (steady clock).
    auto connect(const endpoint&, time_point deadline) -> task<error_code>;

    /// Starts an exchange and its timers. `onOverdue` may be null and is called at most once.
    auto beginExchange(const exchange_limits&, std::function<void()> onOverdue) -> void;
    /// Ends the exchange and stops its timers. The connection may be reused only if the exchange was complete.
    auto endExchange() -> void;
    /// Records that an answer head has arrived, which disables the limit `silentAt`.
    auto markAnswerStarted() -> void { m_answerStarted = true; }

    /// Closes the connection; pending operations fail. The first reason is kept.
    auto abort(abort_reason) -> void;
    auto abortReason() const -> abort_reason { return m_abortReason; }

    /// Whether the idle connection is still open and no unexpected byte has arrived.
    auto isUsable() -> bool;
    /// Whether the connection carried another exchange before the current one.
    auto isReused() const -> bool { return m_exchanges > 1; }
    /// Whether the next exchange will reuse the connection.
    auto willBeReused() const -> bool { return m_exchanges > 0; }

    auto socket() -> tcp_socket& { return m_socket; }
    auto buffer() -> beast::flat_buffer& { return m_buffer; }

    /// Until when the idle connection may be reused (steady clock).
    time_point usableUntil;
    /// Until when the idle connection may carry a non-idempotent request (steady clock).
    time_point freshUntil;

private:
    auto armTimer() -> void;
    auto onTimer(uint64_t exchange) -> void;
    auto nextTimeout() const -> time_point;

    tcp_socket m_socket;
    steady_timer m_timer;
    beast::flat_buffer m_buffer;
    exchange_limits m_limits;
    std::function<void()> m_onOverdue;
    uint64_t m_exchanges { 0 };
    bool m_active { false };
    bool m_answerStarted { false };
    abort_reason m_abortReason { abort_reason::None };
};

} // namespace gypsumhub
