#include "unit_tests/proxy/proxy_fixture.h"

#include <doctest/doctest.h>
#include <thread>

namespace gypsumhub {

TEST_CASE("a caller that goes on sending behind the last answer of its connection, and reads only then, is not reset")
{
    auto fixture = proxy_fixture(1);
    fixture.start();
    auto isStop = false;
    SUBCASE("the caller asked for a close") { isStop = false; }
    SUBCASE("the node is stopping") { isStop = true; }
    CAPTURE(isStop);
    auto context = asio::io_context {};
    auto socket = tcp::socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), fixture.server->port() });
    if (isStop)
        fixture.server->beginShutdown(wallClockNow() + seconds(10));
    asio::write(socket, asio::buffer(std::string("GET /find HTTP/1.1\r\nHost: a\r\n") + (isStop ? "" : "Connection: close\r\n") + "\r\n"));
    auto error = error_code {};
    for (auto piece = 0; piece < 20 && !error; ++piece) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        asio::write(socket, asio::buffer(std::string(10'000, 'm')), error);
    }
    CHECK_FALSE(error);
    auto text = std::string {};
    asio::read(socket, asio::dynamic_buffer(text), error);
    CHECK(text.starts_with("HTTP/1.1 200"));
    CHECK((error == asio::error::eof));
}

TEST_CASE("LOST: a caller that pauses behind an answer which did not announce a close finds its connection open while the node stops")
{
    auto fixture = proxy_fixture(1);
    fixture.start();
    auto context = asio::io_context {};
    auto socket = tcp::socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), fixture.server->port() });
    auto buffer = beast::flat_buffer {};
    auto call = [&] {
        auto error = error_code {};
        asio::write(socket, asio::buffer(std::string("GET /find HTTP/1.1\r\nHost: a\r\n\r\n")), error);
        auto answer = http::response<http::string_body> {};
        http::read(socket, buffer, answer, error);
        return error ? std::pair { 0U, false } : std::pair { answer.result_int(), answer.keep_alive() };
    };
    CHECK((call() == std::pair { 200U, true }));
    // Stops accepting after 1.5 s.
    fixture.server->beginShutdown(wallClockNow() + seconds(3));
    std::this_thread::sleep_for(std::chrono::milliseconds(1'700));
    CHECK((call() == std::pair { 200U, false }));
}

} // namespace gypsumhub
