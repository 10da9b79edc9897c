#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

#include <memory>
#include <thread>

using namespace gypsumhub;

namespace {

auto sleepFor(int milliseconds) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// Reads answers in the background until the connection ends.
class background_reader {
public:
    background_reader(raw_caller& caller, size_t count)
        : m_thread([this, &caller, count] {
            m_answers = caller.read(count);
            m_endedAt = bootClockNow();
        })
    {
    }

    auto join() -> std::vector<raw_answer>
    {
        m_thread.join();
        return m_answers;
    }

    auto endedAt() const -> time_point { return m_endedAt; }

private:
    std::vector<raw_answer> m_answers;
    time_point m_endedAt {};
    std::thread m_thread;
};

// A target that answers each request with a long body after a fixed time.
class long_answer_target {
public:
    long_answer_target(int delayMs, size_t bytes)
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this, delayMs, bytes] {
            auto error = error_code {};
            auto socket = m_acceptor.accept(error);
            auto buffer = beast::flat_buffer {};
            auto request = http::request<http::string_body> {};
            http::read(socket, buffer, request, error);
            if (error)
                return;
            m_hasRequest = true;
            sleepFor(delayMs);
            auto text = "HTTP/1.1 200 X\r\nRequest-Id: " + std::string(request["Request-Id"]) + "\r\nUpstream-Signature: s\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
                + std::string(bytes, 'x');
            asio::write(socket, asio::buffer(text), error);
        })
    {
    }

    ~long_answer_target()
    {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }

    auto port() const -> uint16_t { return m_acceptor.local_endpoint().port(); }
    auto hasRequest() const -> bool { return m_hasRequest; }

private:
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_hasRequest { false };
    std::thread m_thread;
};

} // namespace

TEST_CASE("an answer that is ready behind an open request is not lost when a stopping node ends")
{
    auto fleet = std::make_unique<gateway_fixture>(milliseconds(3'500)); // ends 3.1 s after the stop
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "open", .delayMs = 3'950 }.text() + raw_request { .id = "ready", .delayMs = 10 }.text());
    REQUIRE(eventually([&] { return fleet->executionsOf("open") == 1 && fleet->executionsOf("ready") == 1; }));
    auto reader = background_reader(caller, 2);
    fleet->nodes[0]->requestStop();
    fleet.reset();
    auto answers = reader.join();
    REQUIRE(answers.size() == 2);
    CHECK(answers[1].id == "ready");
    CHECK(answers[1].status == 200);
}

TEST_CASE("a request read behind an open one that lasts until a stopping node ends is answered or left unread")
{
    auto fleet = std::make_unique<gateway_fixture>(milliseconds(3'500));
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "open", .method = "POST", .path = "/unsafe/", .delayMs = 3'950 }.text());
    REQUIRE(eventually([&] { return fleet->executionsOf("open") == 1; }));
    fleet->nodes[0]->requestStop();
    sleepFor(1'000);
    caller.send(raw_request { .id = "behind", .method = "POST", .path = "/unsafe/" }.text());
    auto sentAt = bootClockNow();
    auto reader = background_reader(caller, 2);
    fleet.reset();
    auto answers = reader.join();
    auto isAnswered = answers.size() == 2 && answers[1].status != 0;
    CAPTURE((reader.endedAt() - sentAt).milliseconds());
    CHECK((isAnswered || !caller.endedCleanly()));
}

TEST_CASE("a request that waits for a target when a stopping node ends is refused")
{
    auto fleet = std::make_unique<gateway_fixture>(milliseconds(1'500)); // ends 1.1 s after the stop
    auto busy = std::vector<std::unique_ptr<raw_caller>> {};
    for (auto index = 0; index < 12; ++index) {
        busy.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
        auto id = "busy-" + std::to_string(index);
        busy.back()->send(raw_request { .id = id, .method = "POST", .path = "/unsafe/", .delayMs = 3'900 }.text());
        REQUIRE(eventually([&] { return fleet->executionsOf(id) == 1; }));
    }
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "waits" }.text());
    auto reader = background_reader(caller, 1);
    sleepFor(100);
    fleet->nodes[0]->requestStop();
    sleepFor(1'200);
    CHECK(fleet->executionsOf("waits") == 0);
    fleet.reset();
    auto answers = reader.join();
    CHECK(answers[0].status == 503);
}

TEST_CASE("a request that lies unread when a stopping node answers an open one is not read and then dropped")
{
    auto fleet = gateway_fixture(milliseconds(4'000));
    auto isBehindFirst = false;
    SUBCASE("it arrived before the target's answer") { isBehindFirst = true; }
    SUBCASE("it arrived after the target's answer") { isBehindFirst = false; }
    CAPTURE(isBehindFirst);
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "open", .delayMs = isBehindFirst ? 500 : 250 }.text());
    REQUIRE(eventually([&] { return fleet.executionsOf("open") == 1; }));
    fleet.nodes[0]->requestStop();
    sleepFor(150);
    // The node runs again 400 ms after the request behind the open one was sent.
    fleet.pauseNode(0, std::chrono::milliseconds(600));
    sleepFor(200);
    caller.send(raw_request { .id = "behind", .method = "POST", .path = "/unsafe/" }.text());
    auto sentAt = bootClockNow();
    auto answers = caller.read(2);
    CAPTURE((bootClockNow() - sentAt).milliseconds());
    CAPTURE(caller.endedCleanly());
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].status == 200);
    CHECK((answers[1].status == 200 || !caller.endedCleanly()));
}

TEST_CASE("the last answer of a stopping node is not destroyed by a reset because of bytes that it leaves unread")
{
    constexpr auto bytes = size_t { 300'000 };
    for (auto sendsBehind : { false, true }) {
        CAPTURE(sendsBehind);
        auto target = long_answer_target(1'400, bytes);
        auto fleet = std::make_unique<gateway_fixture>(milliseconds(2'000)); // leaves bytes unread from 1.54 s on, ends at 1.6 s
        fleet->store.put("servers/i-long", R"({"address":"127.0.0.1:)" + std::to_string(target.port()) + R"(","info":{"service":"empty","version":"v1","data_centre":"a1","slots":4},"status":{"state":"ready","sequence":1,"warm_up_left":"0ms"}})");
        fleet->configure(2, "empty");
        sleepFor(1'000);
        auto context = asio::io_context {};
        auto socket = tcp::socket(context);
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(4'096));
        socket.connect({ asio::ip::make_address(gateway_fixture::callerAddress(0).address), gateway_fixture::callerAddress(0).port });
        asio::write(socket, asio::buffer(raw_request { .id = "long" }.text()));
        REQUIRE(eventually([&] { return target.hasRequest(); }));
        fleet->nodes[0]->requestStop();
        if (sendsBehind) {
            sleepFor(1'550);
            asio::write(socket, asio::buffer(raw_request { .id = "behind" }.text()));
        }
        auto closer = std::thread([&] { fleet.reset(); });
        closer.join();
        auto buffer = beast::flat_buffer {};
        auto error = error_code {};
        auto parser = http::response_parser<http::string_body> {};
        http::read(socket, buffer, parser, error);
        CAPTURE(error.message());
        CAPTURE(parser.get().result_int());
        CAPTURE(parser.get().body().size());
        CHECK_FALSE(error);
        CHECK(parser.get().body().size() == bytes);
    }
}

TEST_CASE("a request that is held while a node starts is answered when the node stops meanwhile")
{
    auto settings = gateway_settings {};
    settings.name = "n1";
    settings.dataCentre = "a1";
    settings.region = "a";
    settings.dataCentres = { { "a1", "a" } };
    settings.callerAddress = gateway_fixture::callerAddress(0);
    settings.readinessAddress = gateway_fixture::addressOf(0, gateway_fixture::portOf(2));
    settings.directoryAddress = gateway_fixture::addressOf(0, gateway_fixture::portOf(3));
    settings.peerAddress = gateway_fixture::addressOf(0, gateway_fixture::portOf(4));
    settings.storeAddress = { "127.0.0.1", 9 }; // no listener
    settings.stopLimit = milliseconds(1'500); // ends 1.1 s after the stop
    auto log = std::tmpfile();
    settings.logDescriptor = ::fileno(log);
    auto answer = raw_answer {};
    auto reader = std::thread {};
    auto caller = std::unique_ptr<raw_caller> {};
    {
        auto node = gateway_node(settings, "none.ini");
        auto thread = std::thread([&] { leaf::try_handle_all([&]() -> leaf::result<void> { return node.run(); }, [] {}); });
        sleepFor(200);
        node.requestStop();
        sleepFor(600);
        caller = std::make_unique<raw_caller>(gateway_fixture::callerAddress(0));
        caller->send(raw_request { .id = "held" }.text());
        reader = std::thread([&] { answer = caller->read(); });
        thread.join();
    }
    reader.join();
    std::fclose(log);
    CHECK(answer.status == 503);
}
