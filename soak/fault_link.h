#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"

#include <atomic>
#include <memory>

namespace gypsumhub {

enum class link_fault : uint8_t {
    None,
    /// Everything arrives late.
    Slow,
    /// Connections are reset, also new ones.
    Reset,
    /// What the client sends is held until the fault ends.
    HeldOut,
    /// What the server sends is held until the fault ends.
    HeldBack,
    /// Both directions are held, and new connections find nobody behind them.
    Silent,
};

/// A loopback proxy in front of a server, whose connections can be disturbed from outside of both programs. Nothing that was
/// sent is lost in a hold, as with a network that retransmits.
class fault_link {
public:
    /// Listens on a free port of 127.0.0.1.
    fault_link(asio::io_context&, const endpoint& server);

    auto address() const -> endpoint;
    /// From any thread.
    auto setFault(link_fault fault) -> void { m_fault = fault; }

private:
    struct connection;

    auto accept() -> task<>;
    auto serve(std::shared_ptr<connection>) -> task<>;
    auto pump(std::shared_ptr<connection>, tcp_socket& from, tcp_socket& to, link_fault hold) -> task<>;

    asio::io_context& m_context;
    endpoint m_server;
    tcp_acceptor m_acceptor;
    std::atomic<link_fault> m_fault { link_fault::None };
};

} // namespace gypsumhub
