#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/decision/selection/close_wait.h"

namespace gypsumhub {

/// A connection behind its last answer: its sending side is shut down, and it stays open until its caller has received the answer
/// and has stopped sending.
class closing_connection {
public:
    /// Shuts down the sending side. `isRefusal` tells that the answer refused bytes of a request that the caller may still be sending,
    /// `maxBodyBytes` is the greatest size of a body. The socket must outlive this object.
    closing_connection(tcp_socket&, bool isRefusal, size_t maxBodyBytes);

    /// Completes when the socket may be closed, or was closed meanwhile. Returns whether the caller has received everything, as far
    /// as is known.
    auto wait() -> task<bool>;

private:
    /// Whether the socket may be closed now.
    auto check() -> bool;

    tcp_socket& m_socket;
    close_wait m_wait;
    /// The caller has closed its side, or the connection has failed.
    bool m_hasEnded { false };
};

/// Closes a socket behind its last answer at once, as the process ends. What has arrived is discarded before, since closing with
/// unread bytes would destroy what the caller has not received.
auto closeBehindAnswer(tcp_socket&) -> void;

} // namespace gypsumhub
