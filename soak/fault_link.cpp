#include "soak/fault_link.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

namespace gypsumhub {

namespace {

    constexpr auto slowDelay = milliseconds(120);
    // Interval at which tasks check for the start or end of a fault.
    constexpr auto holdPollInterval = milliseconds(10);
    constexpr auto chunkBytes = size_t { 16 * 1024 };

    // Closes the socket with a TCP reset.
    auto reset(tcp_socket& socket) -> void
    {
        auto error = error_code {};
        // A linger time of zero discards unsent data and sends a reset on close.
        socket.set_option(asio::socket_base::linger(true, 0), error);
        closeNow(socket);
    }

} // namespace

/// The two sockets of a proxied connection.
struct fault_link::connection {
    explicit connection(asio::io_context& context)
        : client(context.get_executor())
        , server(context.get_executor())
    {
    }

    tcp_socket client;
    tcp_socket server;
};

fault_link::fault_link(asio::io_context& context, const endpoint& server)
    : m_context(context)
    , m_server(server)
    , m_acceptor(context.get_executor(), { asio::ip::address_v4::loopback(), 0 })
{
    asio::co_spawn(m_context.get_executor(), accept(), asio::detached);
}

auto fault_link::address() const -> endpoint
{
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

auto fault_link::accept() -> task<>
{
    for (;;) {
        auto accepted = std::make_shared<connection>(m_context);
        auto [error] = co_await m_acceptor.async_accept(accepted->client, useTask);
        if (error)
            co_return;
        asio::co_spawn(m_context.get_executor(), serve(std::move(accepted)), asio::detached);
    }
}

auto fault_link::serve(std::shared_ptr<connection> served) -> task<>
{
    auto timer = steady_timer(m_context.get_executor());
    while (m_fault == link_fault::Silent)
        co_await sleepUntil(timer, bootClockNow() + holdPollInterval);
    if (m_fault == link_fault::Reset) {
        reset(served->client);
        co_return;
    }
    auto serverEndpoint = tcp::endpoint(asio::ip::make_address(m_server.address), m_server.port);
    auto [error] = co_await served->server.async_connect(serverEndpoint, useTask);
    if (error) {
        reset(served->client);
        co_return;
    }
    setNoDelay(served->client);
    setNoDelay(served->server);
    asio::co_spawn(m_context.get_executor(), pump(served, served->client, served->server, link_fault::HeldOut), asio::detached);
    asio::co_spawn(m_context.get_executor(), pump(served, served->server, served->client, link_fault::HeldBack), asio::detached);
    // Resets the connection even while no data is sent.
    while (served->client.is_open() && m_fault != link_fault::Reset)
        co_await sleepUntil(timer, bootClockNow() + holdPollInterval);
    reset(served->client);
    reset(served->server);
}

auto fault_link::pump(std::shared_ptr<connection> served, tcp_socket& from, tcp_socket& to, link_fault hold) -> task<>
{
    auto timer = steady_timer(m_context.get_executor());
    auto bytes = std::array<char, chunkBytes> {};
    for (;;) {
        auto [readError, count] = co_await from.async_read_some(asio::buffer(bytes), useTask);
        if (m_fault == link_fault::Slow)
            co_await sleepUntil(timer, bootClockNow() + slowDelay);
        while (m_fault == hold || m_fault == link_fault::Silent)
            co_await sleepUntil(timer, bootClockNow() + holdPollInterval);
        if (readError)
            break;
        auto [writeError, written] = co_await asio::async_write(to, asio::buffer(bytes.data(), count), useTask);
        if (writeError)
            break;
    }
    closeNow(served->client);
    closeNow(served->server);
}

} // namespace gypsumhub
