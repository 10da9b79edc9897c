#include "gypsumhub/gateway/peer_channel.h"

#include "gypsumhub/core/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>

namespace gypsumhub {

using asio::ip::udp;

peer_channel::peer_channel(asio::io_context& context, listener listener)
    : m_context(context)
    , m_socket(context.get_executor())
    , m_listener(std::move(listener))
{
}

auto peer_channel::open(const endpoint& address) -> error_code
{
    auto error = error_code {};
    auto number = asio::ip::make_address(address.address, error);
    auto parsed = udp::endpoint(number, address.port);
    if (!error)
        m_socket.open(parsed.protocol(), error);
    if (!error)
        m_socket.bind(parsed, error);
    // When the send queue is full the datagram is dropped instead of blocking the node.
    if (!error)
        m_socket.non_blocking(true, error);
    auto ignored = error_code {};
    if (error)
        m_socket.close(ignored);
    else
        asio::co_spawn(m_context.get_executor(), receive(), asio::detached);
    return error;
}

auto peer_channel::send(const node_datagram& datagram, std::span<const node_registration> receivers) -> void
{
    auto bytes = encodeDatagram(datagram, bootClockNow());
    for (auto& receiver : receivers) {
        auto error = error_code {};
        auto number = asio::ip::make_address(receiver.peerAddress.address, error);
        if (!error)
            m_socket.send_to(asio::buffer(bytes), udp::endpoint(number, receiver.peerAddress.port), 0, error);
    }
}

auto peer_channel::receive() -> task<>
{
    auto sender = udp::endpoint {};
    for (;;) {
        auto [error, count] = co_await m_socket.async_receive_from(asio::buffer(m_bytes), sender, useTask);
        if (error == asio::error::operation_aborted)
            co_return;
        // Other errors report that an earlier datagram could not be delivered.
        if (!error)
            m_listener(decodeDatagram({ m_bytes.data(), count }, bootClockNow()), sender.address().to_string());
    }
}

} // namespace gypsumhub
