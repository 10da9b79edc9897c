#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

// Sends bytes until the node closes the connection or `limit` are sent. Returns how many the node took.
auto sendWithoutEnd(const endpoint& node, const std::string& begin, size_t limit) -> size_t
{
    auto context = asio::io_context {};
    auto socket = tcp::socket(context);
    socket.connect({ asio::ip::make_address(node.address), node.port });
    auto error = error_code {};
    auto sent = asio::write(socket, asio::buffer(begin), error);
    auto part = std::string(64 * 1024, 'x');
    while (!error && sent < limit)
        sent += asio::write(socket, asio::buffer(part), error);
    return sent;
}

// Bytes that the sockets of both sides hold, and that a node discards behind its last answer.
constexpr auto maxTakenBytes = size_t { 24 * 1024 * 1024 };

} // namespace

// Guards against a node that ends itself when the last bytes of an empty body arrive one by one.
TEST_CASE("a request with an empty body in chunks is served however its bytes are split")
{
    auto fleet = gateway_fixture {};
    auto end = std::string("0\r\n\r\n");
    for (auto pieces = 0U; pieces < 16; ++pieces) {
        auto caller = raw_caller(gateway_fixture::callerAddress(0));
        auto id = "split-" + std::to_string(pieces);
        CAPTURE(id);
        caller.send(raw_request { .id = id, .method = "DELETE", .path = "/unsafe/", .fields = "Transfer-Encoding: chunked\r\n" }.text());
        for (auto index = size_t { 0 }; index < end.size(); ++index) {
            // Each bit of `pieces` stands for a split.
            if (index > 0 && (pieces >> (index - 1) & 1) != 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            caller.send(end.substr(index, 1));
        }
        CHECK(caller.read().status == 200);
        CHECK(fleet.executionsOf(id) == 1);
    }
}

// Guards against a node that waits for the end of a chunk's header or of a trailer that never comes.
TEST_CASE("a request whose chunk header or trailer does not end is refused at once")
{
    auto fleet = gateway_fixture {};
    for (auto begin : { "1;", "0\r\nField: " }) {
        CAPTURE(begin);
        auto caller = raw_caller(gateway_fixture::callerAddress(0));
        auto sentAt = bootClockNow();
        caller.send(raw_request { .id = "endless", .method = "POST", .path = "/unsafe/", .fields = "Transfer-Encoding: chunked\r\n" }.text() + begin + std::string(128 * 1024, 'x'));
        CHECK(caller.read().status == 413);
        CHECK((bootClockNow() - sentAt).milliseconds() < 2'000);
        CHECK(fleet.executionsOf("endless") == 0);
    }
}

// Guards against a node that holds all bytes of a request without end on the addresses that need no configuration.
TEST_CASE("the addresses for readiness, the directory and other nodes close a connection whose request does not end")
{
    auto fleet = gateway_fixture {};
    for (auto purpose : { 2, 3, 4 }) {
        for (auto begin : { "GET /", "GET / HTTP/1.1\r\nField: ", "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" }) {
            CAPTURE(purpose);
            CAPTURE(begin);
            CHECK(sendWithoutEnd(gateway_fixture::addressOf(0, gateway_fixture::portOf(purpose)), begin, 4 * maxTakenBytes) < maxTakenBytes);
        }
    }
    CHECK(sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/safe/", "after").status == 200);
}
