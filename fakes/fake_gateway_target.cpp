#include "fakes/fake_gateway_target.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <sys/socket.h>

namespace gypsumhub {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    auto makeAnswer(unsigned status, std::string_view requestId, std::string_view target) -> std::string
    {
        auto body = std::string("from ") + std::string(target);
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + std::string(requestId) + "\r\nUpstream-Signature: " + std::string(target)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // The bytes that an endless answer begins with, and those that are repeated. Empty for other behaviours.
    auto endlessBytes(target_behaviour behaviour) -> std::pair<std::string, std::string>
    {
        auto begin = std::string("HTTP/1.1 200 X\r\n");
        switch (behaviour) {
        case target_behaviour::EndlessInterim:
            return { "HTTP/1.1 100 X\r\n\r\n", "HTTP/1.1 100 X\r\n\r\n" };
        case target_behaviour::EndlessHead:
            return { begin, "Field: value\r\n" };
        case target_behaviour::EndlessBody:
            return { begin + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + std::string(0x10000, 'x') + "\r\n" };
        default:
            return {};
        }
    }

    // An answer that breaks off; empty for other behaviours.
    auto brokenBytes(target_behaviour behaviour, const std::string& id) -> std::string
    {
        auto head = "HTTP/1.1 200 X\r\nRequest-Id: " + id + "\r\nUpstream-Signature: s\r\n";
        switch (behaviour) {
        case target_behaviour::CutsChunks:
            return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        case target_behaviour::SpoilsChunk:
            return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n";
        case target_behaviour::ResetsUnframed:
            return head + "\r\nhalf";
        default:
            return {};
        }
    }

} // namespace

fake_gateway_target::fake_gateway_target(const std::string& address, std::string id)
    : m_id(std::move(id))
    , m_acceptor(m_context, { asio::ip::make_address(address), 0 })
    , m_acceptThread([this] {
        for (;;) {
            auto error = boost::system::error_code {};
            auto socket = m_acceptor.accept(error);
            if (error)
                return;
            auto lock = std::lock_guard(m_mutex);
            m_sockets.push_back(socket.native_handle());
            m_connections.emplace_back([this, accepted = std::move(socket)]() mutable { serve(std::move(accepted)); });
        }
    })
{
}

fake_gateway_target::~fake_gateway_target()
{
    // Unblocks the pending accept and reads. The descriptors stay open until their threads have ended.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_acceptThread.join();
    {
        auto lock = std::lock_guard(m_mutex);
        for (auto socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (auto& connection : m_connections)
        connection.join();
}

auto fake_gateway_target::port() const -> uint16_t
{
    return m_acceptor.local_endpoint().port();
}

auto fake_gateway_target::runs(const std::string& requestId) -> int
{
    auto lock = std::lock_guard(m_mutex);
    return static_cast<int>(std::ranges::count_if(m_arrivals, [&](auto& arrival) { return arrival.isRun && arrival.requestId == requestId; }));
}

auto fake_gateway_target::totalRuns() -> int
{
    auto lock = std::lock_guard(m_mutex);
    return static_cast<int>(std::ranges::count(m_arrivals, true, &recorded_request::isRun));
}

auto fake_gateway_target::arrivals() -> std::vector<recorded_request>
{
    auto lock = std::lock_guard(m_mutex);
    return m_arrivals;
}

auto fake_gateway_target::recordArrival(const std::string& requestId, bool isRun) -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_arrivals.push_back({ requestId, bootClockNow(), isRun });
}

auto fake_gateway_target::serve(asio::ip::tcp::socket socket) -> void
{
    auto buffer = boost::beast::flat_buffer {};
    for (;;) {
        auto request = http::request<http::string_body> {};
        auto error = boost::system::error_code {};
        http::read(socket, buffer, request, error);
        if (error)
            break;
        auto id = std::string(request["Request-Id"]);
        auto send = [&](const std::string& text) { asio::write(socket, asio::buffer(text), error); };
        auto behaviour = m_behaviour.load();
        if (request["Target-Instance"] != m_id) {
            send("HTTP/1.1 421 X\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (behaviour == target_behaviour::Sheds) {
            recordArrival(id, false);
            send("HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        recordArrival(id, true);
        auto delay = std::string(request[delayField]);
        auto serviceTime = delay.empty() ? std::chrono::nanoseconds(m_serviceTimeNs.load()) : std::chrono::nanoseconds(std::chrono::milliseconds(std::stol(delay)));
        // A target stops work when the time left that it received is over.
        auto left = std::string(request["Deadline-Ms"]);
        auto limit = std::chrono::nanoseconds(left.empty() ? std::chrono::hours(1) : std::chrono::milliseconds(std::stol(left)));
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(serviceTime, limit));
        auto answer = makeAnswer(serviceTime > limit ? 504 : behaviour == target_behaviour::Fails ? 500
                                                                                                  : 200,
            id, m_id);
        if (auto endless = endlessBytes(behaviour); !endless.first.empty()) {
            send(endless.first);
            while (!error)
                send(endless.second);
            break;
        }
        if (auto broken = brokenBytes(behaviour, id); !broken.empty()) {
            send(broken);
            if (behaviour == target_behaviour::ResetsUnframed) {
                // Lets the bytes arrive before the reset discards them.
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
                socket.set_option(asio::socket_base::linger(true, 0), error);
            }
            break;
        }
        if (behaviour == target_behaviour::AnswersWithoutId)
            send("HTTP/1.1 200 X\r\nUpstream-Signature: s\r\nContent-Length: 9\r\n\r\nlate copy");
        if (behaviour == target_behaviour::AnswersOtherRequest)
            send(makeAnswer(200, "another", "another"));
        if (behaviour == target_behaviour::Drops || behaviour == target_behaviour::Cuts) {
            if (behaviour == target_behaviour::Cuts)
                send(answer.substr(0, answer.size() - 3));
            break;
        }
        send(answer);
        if (error)
            break;
    }
    // Removed before the descriptor is closed, since a new socket may reuse its number.
    auto lock = std::lock_guard(m_mutex);
    std::erase(m_sockets, socket.native_handle());
    // The destructor of a socket ignores its linger option.
    auto ignored = boost::system::error_code {};
    socket.close(ignored);
}

} // namespace gypsumhub
