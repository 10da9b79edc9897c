#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/fault.h"
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

    /// Listens on an address and starts serving. Fails with `AddressInUse`.
    auto listen(const endpoint&) -> leaf::result<void>;

private:
    auto accept() -> task<>;
    auto serve(tcp_socket) -> task<>;

    asio::io_context& m_context;
    buffer_budget& m_budget;
    answer_function m_answer;
    tcp_acceptor m_acceptor;
};

/// Opens a listening socket. Fails with `AddressInUse`.
auto openListener(tcp_acceptor&, const endpoint&) -> leaf::result<void>;

} // namespace gypsumhub
