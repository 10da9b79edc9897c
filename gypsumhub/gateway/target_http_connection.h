#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/deadline_timer.h"
#include "gypsumhub/decision/selection/buffer_budget.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// How an exchange with a target ended.
enum class exchange_end : uint8_t {
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// After the request was sent, the connection ended or its bytes were not a valid answer.
    Lost,
    /// The target answered with a status that HTTP does not define, such as 000.
    InvalidStatus,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// This node aborted the exchange.
    Abandoned,
};

/// A request as sent to a target.
struct outbound_request {
    std::string head;
    std::shared_ptr<const std::string> body;
    std::string id;
    bool isHead { false };
};

/// How an exchange ended and, when it was answered, the complete answer.
struct exchange_result {
    exchange_end end { exchange_end::NotSent };
    http::response<http::string_body> answer;
    /// Of the answer, to be kept until the answer has been sent on.
    buffer_budget::reservation memory;
};

/// One HTTP connection to a target. Carries one exchange at a time.
class target_http_connection : public std::enable_shared_from_this<target_http_connection> {
public:
    target_http_connection(asio::io_context&, buffer_budget&);

    /// Connects from this IP address instead of the one that the system chooses. Has no effect when it is not a specific address.
    auto bindTo(const std::string& address) -> void;
    /// Opens the connection. Returns whether it is open by `deadline`.
    auto connect(const endpoint&, time_point deadline) -> task<bool>;
    /// Sends a request and reads the complete answer. Skips answers without the id of the request.
    auto exchange(const outbound_request&, time_point deadline) -> task<exchange_result>;
    /// Aborts the current connect or exchange. The result of an exchange is `Abandoned`.
    auto abandon() -> void;
    /// Brings forward the deadline of the exchange in progress, if it is later.
    auto limitDeadline(time_point) -> void;

    /// Whether the last exchange left the connection in a state in which it can carry another one.
    auto isReusable() const -> bool { return m_isReusable && m_socket.is_open(); }
    /// Whether a late copy of an earlier answer would not be taken for that to a request with this id. A request without an id needs a new
    /// connection, as does one whose id an earlier request without success had, since only ids tell answers apart.
    auto mayCarry(std::string_view requestId) const -> bool;
    /// Whether an idle connection has neither been closed by the target nor received unexpected bytes.
    auto isUsable() -> bool;
    /// Until when the target keeps the idle connection open according to its Keep-Alive field; `never` without one.
    auto idleUntil() const -> time_point { return m_idleUntil; }
    auto lastUsedAt() const -> time_point { return m_lastUsedAt; }

private:
    auto armDeadline(time_point) -> void;
    auto writeAll(std::string head, std::shared_ptr<const std::string> body) -> task<>;
    auto readAnswer(const outbound_request&, exchange_result&) -> task<bool>;
    /// Why an exchange ended that did not deliver a valid answer.
    auto failedEnd() const -> exchange_end;
    auto recordKeepAlive(const http::response<http::string_body>&, bool keepAlive) -> void;

    asio::io_context& m_context;
    buffer_budget& m_budget;
    tcp_socket m_socket;
    deadline_timer m_timer;
    beast::flat_buffer m_buffer;
    /// Ids of the requests that were answered without success.
    std::vector<std::string> m_failedIds;
    /// Of the exchange in progress.
    time_point m_deadline { never };
    time_point m_idleUntil { never };
    time_point m_lastUsedAt {};
    bool m_isReusable { false };
    bool m_isWriting { false };
    /// The write of the request has failed because the target reset the connection before it had ended its side.
    bool m_isResetDuringWrite { false };
    bool m_hasTimedOut { false };
    bool m_isAbandoned { false };
    bool m_hasInvalidStatus { false };
};

} // namespace gypsumhub
