#pragma once

#include "unit_tests/gateway/gateway_fixture.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <mutex>
#include <sys/socket.h>

namespace gypsumhub {

/// A target that answers each request with a body of a fixed length, after the time that the request states in `delayField`.
class body_target {
public:
    explicit body_target(size_t bytes, bool isChunked = false)
        : m_bytes(bytes)
        , m_isChunked(isChunked)
        , m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this] { acceptConnections(); })
    {
    }

    ~body_target()
    {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        {
            auto lock = std::lock_guard(m_mutex);
            for (auto& socket : m_sockets)
                ::shutdown(socket->native_handle(), SHUT_RDWR);
        }
        for (auto& thread : m_connections)
            thread.join();
    }

    /// Registers the target as the only one of the service "empty", and routes all requests there.
    auto registerIn(gateway_fixture& fleet) -> void
    {
        fleet.store.put("servers/i-body", R"({"address":"127.0.0.1:)" + std::to_string(m_acceptor.local_endpoint().port()) + R"(","info":{"service":"empty","version":"v1","data_centre":"a1","slots":40},"status":{"state":"ready","sequence":1,"warm_up_left":"0ms"}})");
        fleet.configure(2, "empty", 300'000);
        auto isServed = [&] { return sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/safe/", "registered").body.size() == m_bytes; };
        REQUIRE(eventually(isServed));
    }

    auto received(const std::string& id) -> int
    {
        auto lock = std::lock_guard(m_mutex);
        return static_cast<int>(std::count(m_received.begin(), m_received.end(), id));
    }

private:
    auto acceptConnections() -> void
    {
        for (;;) {
            auto error = error_code {};
            auto socket = std::make_shared<tcp::socket>(m_acceptor.accept(error));
            if (error)
                return;
            auto lock = std::lock_guard(m_mutex);
            m_sockets.push_back(socket);
            m_connections.emplace_back([this, socket] { serve(*socket); });
        }
    }

    auto serve(tcp::socket& socket) -> void
    {
        auto buffer = beast::flat_buffer {};
        auto error = error_code {};
        while (!error) {
            auto request = http::request_parser<http::string_body> {};
            request.body_limit(boost::none);
            http::read(socket, buffer, request, error);
            if (error)
                return;
            auto id = std::string(request.get()["Request-Id"]);
            {
                auto lock = std::lock_guard(m_mutex);
                m_received.push_back(id);
            }
            auto delay = std::string(request.get()[fake_gateway_target::delayField]);
            std::this_thread::sleep_for(std::chrono::milliseconds(delay.empty() ? 0 : std::stoi(delay)));
            auto text = answerTo(id, request.get().method() == http::verb::head);
            asio::write(socket, asio::buffer(text), error);
        }
    }

    auto answerTo(const std::string& id, bool isToHead) const -> std::string
    {
        auto head = "HTTP/1.1 200 X\r\nRequest-Id: " + id + "\r\nUpstream-Signature: s\r\n";
        auto body = isToHead ? std::string {} : std::string(m_bytes, 'x');
        if (!m_isChunked)
            return head + "Content-Length: " + std::to_string(m_bytes) + "\r\n\r\n" + body;
        auto size = std::array<char, 16> {};
        auto end = std::to_chars(size.data(), size.data() + size.size(), m_bytes, 16).ptr;
        auto chunks = isToHead ? std::string {} : std::string(size.data(), end) + "\r\n" + body + "\r\n0\r\n\r\n";
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
    }

    size_t m_bytes;
    bool m_isChunked;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::vector<std::string> m_received;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace gypsumhub
