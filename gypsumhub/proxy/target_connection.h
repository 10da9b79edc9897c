#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/time_point.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>

namespace gypsumhub {

/// Why an exchange was broken off by this side.
enum class abort_reason : uint8_t {
    None,
    DeadlinePassed,
    /// A connection that carried earlier requests stays silent; a new one shall be tried.
    SilentConnection,
    CallerGone,
};

/// Instants of one exchange on the steady clock.
struct exchange_limits {
    /// When the exchange is reported as overdue, or `never`.
    time_point overdueAt { never };
    /// When an exchange without any byte of an answer is broken off as `SilentConnection`, or `never`.
    time_point silentAt { never };
    /// When the exchange is broken off as `DeadlinePassed`.
    time_point deadline { never };
};

/// One TCP connection to a target or a peer. Carries one exchange at a time; matchesRequest to one request thread.
class target_connection : public std::enable_shared_from_this<target_connection> {
public:
    explicit target_connection(asio::io_context&);

    /// Connects until `deadline` (steady clock) at the latest.
    auto connect(const endpoint&, time_point deadline) -> task<error_code>;

    /// Starts to watch the limits of one exchange. `onOverdue` is called at most once.
    auto beginExchange(const exchange_limits&, std::function<void()> onOverdue) -> void;
    /// Ends the watch. The connection may be used again only if the exchange was complete.
    auto endExchange() -> void;
    /// Notes that the answer has begun.
    auto markAnswerStarted() -> void { m_answerStarted = true; }

    /// Closes the connection; pending operations fail. The first reason stays.
    auto abort(abort_reason) -> void;
    auto abortReason() const -> abort_reason { return m_abortReason; }

    /// Whether the idle connection is still open and no unasked byte has arrived.
    auto isUsable() -> bool;
    /// Whether it has carried an exchange before.
    auto isReused() const -> bool { return m_exchanges > 1; }
    /// Whether the next exchange will be one on a used connection.
    auto willBeReused() const -> bool { return m_exchanges > 0; }

    auto socket() -> tcp_socket& { return m_socket; }
    auto buffer() -> beast::flat_buffer& { return m_buffer; }

    /// Until when the idle connection may be used again, and may carry a request that must run at most once (steady clock).
    time_point usableUntil;
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
