#pragma once

#include "gypsumhub/gateway/request_handler.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

namespace gypsumhub {

/// One connection from a caller. Reads requests sequentially (HTTP/1.1 keep-alive) and answers each.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(gateway_context&, tcp_socket);

    auto run() -> task<>;

private:
    /// How reading a request ended.
    enum class read_end : uint8_t { Request,
        Closed,
        Failed };

    auto readRequest(request_reader&) -> task<read_end>;
    auto answerRequest(inbound_message) -> task<bool>;
    auto answerFault(unsigned status) -> task<>;
    auto writeReply(caller_reply, bool keepOpen, bool isHead) -> task<bool>;
    auto watchCaller(std::shared_ptr<request_handler>) -> void;

    gateway_context& m_context;
    tcp_socket m_socket;
    deadline_timer m_timer;
    beast::flat_buffer m_buffer;
    time_point m_readAt {};
    /// The current request, while the connection is monitored for being closed by the caller.
    std::shared_ptr<request_handler> m_watched;
};

} // namespace gypsumhub
