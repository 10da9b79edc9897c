#include "gypsumhub/core/socket_state.h"

#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace gypsumhub {

auto unsentBytes(tcp_socket& socket) -> std::optional<size_t>
{
    auto bytes = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0)
        return std::nullopt;
    return static_cast<size_t>(bytes);
}

auto unreadBytes(tcp_socket& socket) -> size_t
{
    auto ignored = error_code {};
    return socket.available(ignored);
}

auto hasPeerClosed(tcp_socket& socket) -> bool
{
    auto polled = pollfd { socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

auto discardUnread(tcp_socket& socket, size_t maxBytes) -> discarded_bytes
{
    auto buffer = std::array<char, 16 * 1024> {};
    auto discarded = discarded_bytes {};
    while (discarded.count < maxBytes) {
        auto count = ::recv(socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0) {
            discarded.hasEnded = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            break;
        }
        discarded.count += static_cast<size_t>(count);
    }
    return discarded;
}

} // namespace gypsumhub
