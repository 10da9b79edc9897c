#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/body_target.h"
#include "unit_tests/gateway/slow_caller.h"

#include <memory>
#include <thread>

using namespace gypsumhub;

namespace {

auto sleepFor(int64_t ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// A caller that uses one connection for one request at a time, until an answer says that the connection is closed behind it.
class sequential_caller {
public:
    struct result {
        int answered { 0 };
        int refused { 0 };
        /// Requests on whose connection nothing but its end arrived.
        int unanswered { 0 };
        bool hasToldClose { false };
    };

    sequential_caller(std::string name, const endpoint& node, std::string method, int pauseMs)
        : m_name(std::move(name))
        , m_node(node)
        , m_method(std::move(method))
        , m_pauseMs(pauseMs)
    {
    }

    /// Sends no request from `until` on.
    auto run(time_point until) -> void
    {
        m_thread = std::thread([this, until] { call(until); });
    }

    auto join() -> result
    {
        m_thread.join();
        return m_result;
    }

private:
    auto call(time_point until) -> void
    {
        auto context = asio::io_context {};
        auto socket = tcp::socket(context);
        auto error = error_code {};
        socket.connect({ asio::ip::make_address(m_node.address), m_node.port }, error);
        auto buffer = beast::flat_buffer {};
        for (auto number = 0; !error && !m_result.hasToldClose && bootClockNow() < until; ++number) {
            auto id = m_name + "-" + std::to_string(number);
            auto request = raw_request { .id = id, .method = m_method, .path = m_method == "POST" ? "/unsafe/" : "/safe/", .delayMs = 20, .body = m_method == "POST" ? "work" : "" };
            asio::write(socket, asio::buffer(request.text()), error);
            auto parser = http::response_parser<http::string_body> {};
            parser.skip(m_method == "HEAD");
            parser.body_limit(boost::none);
            error = {};
            http::read(socket, buffer, parser, error);
            if (error) {
                ++m_result.unanswered;
                return;
            }
            ++(parser.get().result_int() == 200 ? m_result.answered : m_result.refused);
            m_result.hasToldClose = !parser.get().keep_alive();
            sleepFor(m_pauseMs);
        }
    }

    std::string m_name;
    endpoint m_node;
    std::string m_method;
    int m_pauseMs;
    result m_result;
    std::thread m_thread;
};

auto node() -> endpoint
{
    return gateway_fixture::callerAddress(0);
}

} // namespace

TEST_CASE("LOST: callers with one request at a time on a kept connection lose none of them while the node stops")
{
    auto bytes = size_t { 40 };
    auto isChunked = false;
    SUBCASE("short answers") { }
    SUBCASE("long answers") { bytes = 300'000; }
    SUBCASE("long answers in chunks")
    {
        bytes = 300'000;
        isChunked = true;
    }
    auto target = body_target(bytes, isChunked);
    auto fleet = gateway_fixture(milliseconds(6'000)); // reads until 5.54 s after the stop and ends at 5.6 s
    target.registerIn(fleet);
    auto callers = std::vector<std::unique_ptr<sequential_caller>> {};
    for (auto method : { "GET", "HEAD", "POST" }) {
        for (auto pauseMs : { 0, 1, 20, 100, 300, 700, 1'200, 2'000 }) {
            callers.push_back(std::make_unique<sequential_caller>(method + std::to_string(pauseMs), node(), method, pauseMs));
            callers.back()->run(bootClockNow() + milliseconds(15'000));
        }
    }
    sleepFor(500);
    fleet.nodes[0]->requestStop();
    for (auto index = size_t { 0 }; index < callers.size(); ++index) {
        CAPTURE(index);
        auto result = callers[index]->join();
        CHECK(result.answered > 0);
        CHECK(result.unanswered == 0);
        CHECK(result.hasToldClose);
    }
}

TEST_CASE("LOST: a caller that pauses behind a long answer of a stopping node finds its connection open, and its next request served")
{
    for (auto pauseMs : { 30, 500, 1'500 }) {
        CAPTURE(pauseMs);
        auto target = body_target(300'000);
        auto fleet = gateway_fixture(milliseconds(6'000));
        target.registerIn(fleet);
        auto caller = raw_caller(node());
        caller.send(raw_request { .id = "long", .delayMs = 300 }.text());
        REQUIRE(eventually([&] { return target.received("long") == 1; }));
        fleet.nodes[0]->requestStop();
        auto first = caller.read();
        CHECK(first.status == 200);
        CHECK_FALSE(first.isClosing);
        sleepFor(pauseMs);
        caller.send(raw_request { .id = "next", .method = "POST", .path = "/unsafe/", .body = "work" }.text());
        CHECK(caller.read().status == 200);
        CHECK(target.received("next") == 1);
    }
}

TEST_CASE("LOST: late in a stop a long answer says that its connection is closed")
{
    auto target = body_target(300'000);
    auto fleet = gateway_fixture(milliseconds(2'000)); // ends 1.6 s after the stop
    target.registerIn(fleet);
    auto caller = raw_caller(node());
    caller.send(raw_request { .id = "long", .method = "POST", .path = "/unsafe/", .delayMs = 300, .body = "work" }.text());
    REQUIRE(eventually([&] { return target.received("long") == 1; }));
    fleet.nodes[0]->requestStop();
    auto answer = caller.read();
    CHECK(answer.status == 200);
    CHECK(answer.isClosing);
}

TEST_CASE("LOST: late in a stop a long answer reaches a caller that has sent more meanwhile and has closed its side")
{
    constexpr auto bytes = size_t { 6'000'000 };
    auto target = body_target(bytes);
    auto fleet = gateway_fixture(milliseconds(2'000)); // ends 1.6 s after the stop
    target.registerIn(fleet);
    auto caller = slow_caller(node(), 64 * 1024);
    caller.send(raw_request { .id = "long", .method = "POST", .path = "/unsafe/", .delayMs = 300, .body = "work" }.text());
    REQUIRE(eventually([&] { return target.received("long") == 1; }));
    fleet.nodes[0]->requestStop();
    sleepFor(600);
    caller.send(raw_request { .id = "behind", .method = "POST", .path = "/unsafe/", .body = "work" }.text());
    caller.closeSending();
    sleepFor(300);
    auto received = caller.readToEnd();
    CHECK((received.answers == std::vector<std::pair<unsigned, size_t>> { { 200, bytes } }));
    CHECK(received.isWhole);
    CHECK(received.endedCleanly);
    CHECK(target.received("behind") == 0);
}
