#include "fakes/fake_raw_server.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/kv_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

constexpr auto head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n";
constexpr auto chunkedHead = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr auto bufferLimit = size_t { 88'000'000 };
constexpr auto callTimeout = milliseconds(8'000);
// A call to the store that is given up takes no longer than one that is not answered.
constexpr auto maxCallMs = 1'500;

struct call_end {
    keyspace_status status { keyspace_status::Ok };
    int64_t tookMs { 0 };
};

// Lists a prefix from a server whose answers are `begin` and then `rest` without end.
auto listFrom(const std::string& begin, const std::string& rest, std::chrono::milliseconds pause = {}) -> call_end
{
    auto server = fake_raw_server("127.0.0.1", begin, rest, pause);
    auto budget = buffer_budget(bufferLimit);
    auto context = asio::io_context { 1 };
    auto end = call_end {};
    {
        auto client = kv_client(context, { "127.0.0.1", server.port() }, budget);
        auto startedAt = bootClockNow();
        asio::co_spawn(
            context.get_executor(),
            [&]() -> task<> {
                auto listed = co_await client.list("servers/", bootClockNow() + callTimeout);
                end = { listed.status, (bootClockNow() - startedAt).milliseconds() };
            },
            asio::detached);
        context.run();
    }
    return end;
}

} // namespace

// Guards against a node that holds all bytes of a store's answer without end until its machine has no memory left.
TEST_CASE("an answer of the store that does not end is given up, wherever it goes on")
{
    auto part = std::string(64 * 1024, 'x');
    for (auto& begin : { std::string("HTTP/1.1 "), head + std::string("Field: "), head + std::string("\r\n"), chunkedHead + std::string("1;"),
             chunkedHead + std::string("0\r\nField: ") }) {
        CAPTURE(begin);
        auto end = listFrom(begin, part);
        CHECK(end.status == keyspace_status::Unanswered);
        CHECK(end.tookMs < maxCallMs);
    }
    auto chunks = listFrom(chunkedHead, "10000\r\n" + std::string(0x10000, 'x') + "\r\n");
    CHECK(chunks.status == keyspace_status::Unanswered);
    CHECK(chunks.tookMs < maxCallMs);
}

// Guards against pages without end, each of which is small.
TEST_CASE("a listing whose pages do not end is given up")
{
    auto body = std::string(R"({"items":[{"key":"servers/a","value":"","rev":1}],"has_more":true,"store_revision":1})");
    auto end = listFrom(head + std::string("Content-Length: ") + std::to_string(body.size()) + "\r\n\r\n" + body, {});
    CHECK(end.status != keyspace_status::Ok);
    CHECK(end.tookMs < maxCallMs);
}

// Guards against a node that ends itself when the last bytes of a store's answer arrive one by one.
TEST_CASE("an answer of the store in chunks is read also when its bytes arrive one by one")
{
    auto body = std::string(R"({"items":[],"has_more":false,"store_revision":1})");
    auto chunk = std::string("30\r\n") + body + "\r\n0\r\n\r\n";
    REQUIRE(body.size() == 0x30);
    CHECK(listFrom(chunkedHead + chunk, {}, std::chrono::milliseconds(5)).status == keyspace_status::Ok);
    CHECK(listFrom(chunkedHead + std::string("0\r\n\r\n"), {}, std::chrono::milliseconds(5)).status != keyspace_status::Unanswered);
}

// Guards against a write that counts as refused, though a store in trouble may have executed it.
TEST_CASE("an answer of the store with a status outside 200 to 599 is no answer")
{
    for (auto text : { "000 X", "099 X", "100 X", "101 X", "600 X", "999 X" }) {
        CAPTURE(text);
        auto answer = "HTTP/1.1 " + std::string(text) + "\r\nStore-Era: 1\r\nContent-Length: 2\r\n\r\n{}";
        CHECK(listFrom(answer, {}).status == keyspace_status::Unanswered);
    }
    CHECK(listFrom("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", {}).status == keyspace_status::Refused);
}
