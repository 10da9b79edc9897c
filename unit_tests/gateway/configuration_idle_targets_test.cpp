#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

#include <boost/asio/read_until.hpp>
#include <mutex>

using namespace gypsumhub;

namespace {

/// A target that closes each connection a little after its first answer, as one with a short idle timeout does.
class closing_target {
public:
    explicit closing_target(std::chrono::microseconds idle)
        : m_idle(idle)
        , m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this] { accept(); })
    {
    }

    ~closing_target()
    {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        for (auto& connection : m_connections)
            connection.join();
    }

    auto port() const -> uint16_t { return m_acceptor.local_endpoint().port(); }

private:
    auto accept() -> void
    {
        for (;;) {
            auto error = error_code {};
            auto socket = tcp::socket(m_context);
            m_acceptor.accept(socket, error);
            if (error)
                return;
            m_connections.emplace_back([this, accepted = std::move(socket)]() mutable { serve(accepted); });
        }
    }

    auto serve(tcp::socket& socket) const -> void
    {
        auto buffer = beast::flat_buffer {};
        auto request = http::request<http::string_body> {};
        auto error = error_code {};
        http::read(socket, buffer, request, error);
        if (error)
            return;
        auto id = std::string(request["Request-Id"]);
        asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nUpstream-Signature: s\r\nContent-Length: 2\r\n\r\nok"), error);
        std::this_thread::sleep_for(m_idle);
        socket.close(error);
    }

    std::chrono::microseconds m_idle;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace

TEST_CASE("LOST: a target that closes an idle connection just as a request is sent on it takes no caller's connection with it")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 0);
    auto target = closing_target(std::chrono::milliseconds(20));
    auto& store = fleet.store;
    store.put("servers/i-closing", R"({"address":"127.0.0.1:)" + std::to_string(target.port()) + R"(","info":{"service":"bookdesk","version":"v1","data_centre":"a1","slots":8},"status":{"state":"ready","sequence":1,"warm_up_left":"0ms"}})");
    REQUIRE(eventually([&] { return sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/safe/", "first").status == 200; }));
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    auto served = 0;
    for (auto round = 0; round < 150; ++round) {
        CAPTURE(round);
        auto isUnsafe = round % 2 == 0;
        caller.send(raw_request { .id = "idle-" + std::to_string(round), .method = isUnsafe ? "POST" : "GET", .path = isUnsafe ? "/unsafe/" : "/safe/" }.text());
        auto answer = caller.read();
        REQUIRE(answer.status != 0);
        served += answer.status == 200 ? 1 : 0;
        // The next request reaches the target from just before to just after the close.
        std::this_thread::sleep_for(std::chrono::microseconds(18'500 + 50 * (round % 60)));
    }
    MESSAGE("served: ", served);
    CHECK(served > 0);
}
