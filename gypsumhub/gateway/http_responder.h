#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/decision/selection/buffer_budget.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace gypsumhub {

/// The complete answer to a GET request.
struct http_answer {
    unsigned status { 200 };
    std::string contentType { "text/plain" };
    std::string body;
    /// Released when the answer has been sent.
    std::shared_ptr<void> held {};
};

/// A small HTTP server for GET requests whose answers are computed synchronously.
class http_responder {
public:
    using answer_function = std::function<http_answer(std::string_view target)>;

    http_responder(asio::io_context&, buffer_budget&, answer_function);

    /// Takes an address; connections to it are still refused.
    auto bind(const endpoint&) -> error_code;
    /// Accepts connections at the address and starts serving.
    auto listen() -> error_code;

private:
    auto accept() -> task<>;
    auto serve(tcp_socket) -> task<>;

    asio::io_context& m_context;
    buffer_budget& m_budget;
    answer_function m_answer;
    tcp_acceptor m_acceptor;
};

/// Opens a socket at an address; connections to it are still refused. The acceptor stays closed on an error.
auto bindListener(tcp_acceptor&, const endpoint&) -> error_code;
/// Lets connections to a bound socket be accepted.
auto startListening(tcp_acceptor&) -> error_code;

} // namespace gypsumhub
