#include "unit_tests/gateway/network_partition.h"

#include "unit_tests/gateway/raw_caller.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <mutex>
#include <optional>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

namespace gypsumhub {

namespace {

    struct cut {
        std::vector<pthread_t> threads;
        std::set<uint16_t> ports;
        partition_mode mode;
    };

    auto cutMutex() -> std::mutex&
    {
        static auto mutex = std::mutex {};
        return mutex;
    }

    auto currentCut() -> std::optional<cut>&
    {
        static auto current = std::optional<cut> {};
        return current;
    }

    // How the partition treats what this thread sends to the address, if it does.
    auto modeFor(const sockaddr* address) -> std::optional<partition_mode>
    {
        if (!address || address->sa_family != AF_INET)
            return std::nullopt;
        auto port = ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
        auto lock = std::lock_guard(cutMutex());
        auto& current = currentCut();
        auto isOwn = [](pthread_t thread) { return ::pthread_equal(thread, ::pthread_self()) != 0; };
        auto isCut = current && current->ports.count(port) > 0 && std::ranges::any_of(current->threads, isOwn);
        return isCut ? std::optional(current->mode) : std::nullopt;
    }

    // A listener whose backlog is full: connections to it hang.
    auto unresponsiveAddress() -> const sockaddr_in&
    {
        static auto address = [] {
            auto listener = ::socket(AF_INET, SOCK_STREAM, 0);
            auto bound = sockaddr_in {};
            bound.sin_family = AF_INET;
            bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            auto length = socklen_t { sizeof(bound) };
            REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&bound), length) == 0);
            REQUIRE(::listen(listener, 0) == 0);
            ::getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &length);
            for (auto count = 0; count < 4; ++count) {
                auto filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
                ::syscall(SYS_connect, filler, &bound, sizeof(bound));
            }
            return bound;
        }();
        return address;
    }

} // namespace

network_partition::network_partition(std::vector<pthread_t> threads, std::set<uint16_t> ports, partition_mode mode)
{
    unresponsiveAddress();
    auto lock = std::lock_guard(cutMutex());
    currentCut() = cut { std::move(threads), std::move(ports), mode };
}

network_partition::~network_partition()
{
    auto lock = std::lock_guard(cutMutex());
    currentCut().reset();
}

} // namespace gypsumhub

// These replace the functions of the C library in this program.

extern "C" auto connect(int socket, const sockaddr* address, socklen_t length) -> int
{
    using namespace gypsumhub;
    if (auto mode = modeFor(address)) {
        if (*mode != partition_mode::Silent) {
            errno = ECONNREFUSED;
            return -1;
        }
        auto& unresponsive = unresponsiveAddress();
        return static_cast<int>(::syscall(SYS_connect, socket, &unresponsive, sizeof(unresponsive)));
    }
    return static_cast<int>(::syscall(SYS_connect, socket, address, length));
}

extern "C" auto sendmsg(int socket, const msghdr* message, int flags) -> ssize_t
{
    using namespace gypsumhub;
    auto peer = sockaddr_in {};
    auto length = socklen_t { sizeof(peer) };
    auto isConnected = !message->msg_name && ::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &length) == 0;
    auto mode = isConnected ? modeFor(reinterpret_cast<sockaddr*>(&peer)) : std::nullopt;
    if (mode == partition_mode::Reset) {
        ::shutdown(socket, SHUT_RDWR);
        errno = ECONNRESET;
        return -1;
    }
    if (mode == partition_mode::Silent) {
        auto bytes = ssize_t { 0 };
        for (auto index = size_t { 0 }; index < message->msg_iovlen; ++index)
            bytes += static_cast<ssize_t>(message->msg_iov[index].iov_len);
        return bytes;
    }
    return ::syscall(SYS_sendmsg, socket, message, flags);
}

namespace gypsumhub {

TEST_CASE("a network partition hangs, refuses or spares the connections of a thread")
{
    auto target = fake_gateway_target("127.0.0.1", "i-1");
    auto connectsWithin = [&](std::chrono::milliseconds limit) {
        auto context = asio::io_context {};
        auto socket = tcp::socket(context);
        auto result = std::optional<error_code> {};
        socket.async_connect({ asio::ip::make_address("127.0.0.1"), target.port() }, [&](const error_code& error) { result = error; });
        context.run_for(limit);
        return result;
    };
    constexpr auto limit = std::chrono::milliseconds(200);
    CHECK(connectsWithin(limit) == error_code {});
    {
        auto partition = network_partition({ ::pthread_self() }, { target.port() }, partition_mode::Silent);
        CHECK_FALSE(connectsWithin(limit));
    }
    {
        auto partition = network_partition({ ::pthread_self() }, { target.port() }, partition_mode::RefusesNew);
        CHECK(connectsWithin(limit) == error_code(asio::error::connection_refused));
    }
    auto other = std::thread {};
    auto partition = network_partition({ other.native_handle() }, { target.port() }, partition_mode::Silent);
    CHECK(connectsWithin(limit) == error_code {});
}

} // namespace gypsumhub
