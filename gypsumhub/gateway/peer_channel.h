#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/gateway/node_datagram.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace gypsumhub {

/// Sends and receives datagrams between nodes. Delivery is not guaranteed: information that must not be lost is sent again or read
/// from the store.
class peer_channel {
public:
    /// Called for each datagram with the sender's address. The datagram is nullopt when its bytes are malformed.
    using listener = std::function<void(std::optional<node_datagram>, std::string_view address)>;

    peer_channel(asio::io_context&, listener);

    /// Receives datagrams at an address. The socket stays closed on an error.
    auto open(const endpoint&) -> error_code;
    auto send(const node_datagram&, std::span<const node_registration> receivers) -> void;

private:
    using udp_socket = asio::basic_datagram_socket<asio::ip::udp, io_executor>;

    auto receive() -> task<>;

    asio::io_context& m_context;
    udp_socket m_socket;
    listener m_listener;
    std::array<char, 2048> m_bytes {};
};

} // namespace gypsumhub
