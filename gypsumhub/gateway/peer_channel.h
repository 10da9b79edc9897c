#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/fault.h"
#include "gypsumhub/gateway/node_datagram.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace gypsumhub {

/// Datagrams to and from the other nodes. A datagram may be lost; whatever must not be is repeated or read from the store.
class peer_channel {
public:
    /// Takes a datagram and the address that it came from; nothing when its bytes could not be read.
    using listener = std::function<void(std::optional<node_datagram>, std::string_view address)>;

    peer_channel(asio::io_context&, listener);

    auto open(const endpoint&) -> leaf::result<void>;
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
