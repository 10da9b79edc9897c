#include "unit_tests/gateway/raw_caller.h"

#include <thread>

using namespace gypsumhub;

namespace {

/// A target that answers one request with more bytes than the buffers of a connection hold.
class large_answer_target {
public:
    large_answer_target()
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this] { serve(); })
    {
    }

    ~large_answer_target()
    {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }

    auto registration() const -> std::string
    {
        return R"({"address":"127.0.0.1:)" + std::to_string(m_acceptor.local_endpoint().port())
            + R"(","info":{"service":"empty","version":"v1","data_centre":"a1","slots":4},"status":{"state":"ready","sequence":1,"warm_up_left":"0ms"}})";
    }

private:
    auto serve() -> void
    {
        constexpr auto bytes = size_t { 12'000'000 };
        auto error = error_code {};
        auto socket = m_acceptor.accept(error);
        auto buffer = beast::flat_buffer {};
        auto request = http::request<http::string_body> {};
        http::read(socket, buffer, request, error);
        if (error)
            return;
        auto head = "HTTP/1.1 200 X\r\nRequest-Id: " + std::string(request["Request-Id"]) + "\r\nUpstream-Signature: s\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
        asio::write(socket, asio::buffer(head + std::string(bytes, 'x')), error);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace

TEST_CASE("the log says which requests the end of a stopping node cuts, and only those")
{
    auto fleet = gateway_fixture(milliseconds(1'500));
    auto target = large_answer_target();
    fleet.store.put("servers/i-large", target.registration());
    auto answered = raw_caller(gateway_fixture::callerAddress(0));
    answered.send(raw_request { .id = "answered" }.text());
    REQUIRE(answered.read().status == 200);
    auto open = raw_caller(gateway_fixture::callerAddress(0));
    open.send(raw_request { .id = "open", .method = "POST", .path = "/unsafe/", .delayMs = 3'500 }.text());
    auto left = std::make_unique<raw_caller>(gateway_fixture::callerAddress(0));
    left->send(raw_request { .id = "left", .method = "POST", .path = "/unsafe/", .delayMs = 3'500 }.text());
    REQUIRE(eventually([&] { return fleet.executionsOf("open") == 1 && fleet.executionsOf("left") == 1; }));
    left.reset();
    fleet.configure(2, "empty");
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
    // Does not read its answer.
    auto slow = raw_caller(gateway_fixture::callerAddress(0));
    slow.send(raw_request { .id = "slow" }.text());
    REQUIRE(eventually([&] { return fleet.linesOf("slow").find("\"status\":200") != std::string::npos; }));
    fleet.nodes[0]->requestStop();
    CHECK(open.read().status == 504);
    REQUIRE(eventually([&] { return fleet.linesOfEvent("stopped") == 1; }));
    CHECK(fleet.linesOfEvent("request_cut") == 1);
    auto lines = fleet.linesOf("slow");
    CHECK(lines.find("\"request_cut\"") != std::string::npos);
    CHECK(lines.find("\"answer_ready\":true") != std::string::npos);
}
