#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"

#include <atomic>
#include <memory>

namespace gypsumhub {

/// Faults that a `fault_link` can inject.
enum class link_fault : uint8_t {
    None,
    /// Data is delayed in both directions.
    Slow,
    /// Open and new connections are reset.
    Reset,
    /// Data from the client to the server is held until the fault ends.
    HeldOut,
    /// Data from the server to the client is held until the fault ends.
    HeldBack,
    /// Data is held in both directions, and new connections are accepted but not forwarded, until the fault ends.
    Silent,
};

/// TCP proxy on the loopback interface that injects faults into the connections to a server, without changes to client or server.
/// Held data is not lost, as in a network that retransmits.
class fault_link {
public:
    /// Listens on a free port of 127.0.0.1.
    fault_link(asio::io_context&, const endpoint& server);

    /// Address that clients connect to.
    auto address() const -> endpoint;
    /// Sets the fault of all connections. May be called from any thread.
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
