#pragma once

#include "unit_tests/gateway/gateway_fixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <mutex>
#include <sys/socket.h>

namespace gypsumhub {

/// A target that serves each connection by a function of the test, on a thread of the connection.
class scripted_target {
public:
    /// Serves one connection. The connection is closed when the function returns.
    using script = std::function<void(tcp::socket&)>;

    scripted_target(std::string id, script serve)
        : m_id(std::move(id))
        , m_serve(std::move(serve))
        , m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this] { acceptConnections(); })
    {
    }

    ~scripted_target()
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

    scripted_target(const scripted_target&) = delete;
    auto operator=(const scripted_target&) -> scripted_target& = delete;

    /// Registers the target for the service "empty".
    auto registerIn(gateway_fixture& fleet) -> void
    {
        fleet.store.put("servers/" + m_id, R"({"address":"127.0.0.1:)" + std::to_string(m_acceptor.local_endpoint().port()) + R"(","info":{"service":"empty","version":"v1","data_centre":"a1","slots":200},"status":{"state":"ready","sequence":1,"warm_up_left":"0ms"}})");
    }

    /// Routes all requests to the service "empty" and waits until the first node serves it.
    static auto routeRequests(gateway_fixture& fleet, int maxBodyBytes) -> void
    {
        fleet.configure(2, "empty", maxBodyBytes);
        REQUIRE(eventually([&] { return fleet.metricOf(0, "configuration_version") == 2; }));
        REQUIRE(eventually([&] { return sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/safe/", "registered").status == 200; }));
    }

    /// Reads the head of a request. Returns it, or an empty text at the end of the connection. Further bytes stay in `received`.
    static auto readHead(tcp::socket& socket, std::string& received) -> std::string
    {
        auto error = error_code {};
        auto size = asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
        auto head = error ? std::string {} : received.substr(0, size);
        received.erase(0, head.size());
        return head;
    }

    /// The value of a field in a head that was sent by a node.
    static auto fieldOf(const std::string& head, const std::string& name) -> std::string
    {
        auto begin = head.find("\r\n" + name + ": ");
        if (begin == std::string::npos)
            return {};
        begin += name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    static auto send(tcp::socket& socket, const std::string& text) -> void
    {
        auto ignored = error_code {};
        asio::write(socket, asio::buffer(text), ignored);
    }

    static auto answer(const std::string& statusText, const std::string& id) -> std::string
    {
        return "HTTP/1.1 " + statusText + "\r\nRequest-Id: " + id + "\r\nUpstream-Signature: s\r\nContent-Length: 2\r\n\r\nok";
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
            m_connections.emplace_back([this, socket] {
                m_serve(*socket);
                ::shutdown(socket->native_handle(), SHUT_RDWR);
            });
        }
    }

    std::string m_id;
    script m_serve;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace gypsumhub
