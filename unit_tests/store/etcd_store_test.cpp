#include "gypsumhub/store/etcd_store.h"

#include "fakes/fake_raw_server.h"
#include "fakes/fake_store_server.h"
#include "fakes/faults_of.h"
#include "gypsumhub/core/clock.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

namespace gypsumhub {

namespace {

    /// A fake store server on its own thread.
    struct running_store {
        running_store()
            : server(context, "127.0.0.1", 0)
            , thread([this] { context.run(); })
        {
        }

        ~running_store()
        {
            context.stop();
            thread.join();
        }

        auto address() const -> endpoint { return { "127.0.0.1", server.port() }; }

        /// Runs `action` on the server's thread and waits for it.
        template <typename Action>
        auto onServer(Action action) -> void
        {
            auto done = std::promise<void> {};
            boost::asio::post(context, [&] { action(server.state()); done.set_value(); });
            done.get_future().wait();
        }

        boost::asio::io_context context { 1 };
        fake_store_server server;
        std::thread thread;
    };

    auto callDeadline() -> time_point
    {
        return wallClockNow() + seconds(20);
    }

} // namespace

TEST_CASE("get, compare-and-swap, remove and watch work over the JSON mapping")
{
    auto running = running_store();
    auto tested = etcd_store({ { running.address() } });
    CHECK_FALSE(tested.get("head", callDeadline()).value().has_value());
    auto binary = std::string("\x00\xff\x01 value", 9);
    auto first = tested.compareAndSwap("head", 0, binary, callDeadline()).value();
    auto entry = tested.get("head", callDeadline()).value().value();
    CHECK(entry.value == binary);
    CHECK(entry.modRevision == first);
    CHECK((codeOf([&] { return tested.compareAndSwap("head", 0, "other", callDeadline()); }) == result_code::StoreCompareFailed));

    auto second = tested.compareAndSwap("head", first, "second", callDeadline()).value();
    auto received = tested.watch("head", first, callDeadline()).value().value();
    CHECK(received.modRevision == second);
    CHECK(received.value == "second");

    CHECK(static_cast<bool>(tested.remove("head", callDeadline())));
    CHECK_FALSE(tested.get("head", callDeadline()).value().has_value());
    auto counts = tested.callCounts();
    CHECK(counts == store_call_counts { 3, 3, 1, 0, 1, 0 });
    running.onServer([&](auto& state) { CHECK(state.counts == counts); });
}

TEST_CASE("a watch waits for a change by another client")
{
    auto running = running_store();
    auto writer = etcd_store({ { running.address() } });
    auto reader = etcd_store({ { running.address() } });
    auto first = writer.compareAndSwap("head", 0, "first", callDeadline()).value();
    auto received = std::string {};
    auto watching = std::thread([&] { received = reader.watch("head", first, callDeadline()).value().value().value; });
    writer.compareAndSwap("head", first, "second", callDeadline()).value();
    watching.join();
    CHECK(received == "second");
}

TEST_CASE("a lost reply is reported as lost, and the write has taken effect")
{
    auto running = running_store();
    auto tested = etcd_store({ { running.address() } });
    running.onServer([](auto& state) { state.faults.lostReplies = 1; });
    CHECK((codeOf([&] { return tested.compareAndSwap("head", 0, "value", callDeadline()); }) == result_code::StoreReplyLost));
    // The endpoint is in backoff now; a new client can read at once.
    auto other = etcd_store({ { running.address() } });
    CHECK(other.get("head", callDeadline()).value().value().value == "value");
}

// Guards against a write that counts as not executed, though a store in trouble may have executed it.
TEST_CASE("a reply with a status outside 200 to 599 is a lost reply")
{
    for (auto text : { "000 X", "099 X", "100 X", "101 X", "600 X", "999 X" }) {
        CAPTURE(text);
        auto server = fake_raw_server("127.0.0.1", "HTTP/1.1 " + std::string(text) + "\r\nContent-Length: 2\r\n\r\n{}", {});
        auto writer = etcd_store({ { { "127.0.0.1", server.port() } } });
        CHECK((codeOf([&] { return writer.compareAndSwap("head", 0, "value", callDeadline()); }) == result_code::StoreReplyLost));
        auto reader = etcd_store({ { { "127.0.0.1", server.port() } } });
        CHECK((codeOf([&] { return reader.get("head", callDeadline()); }) == result_code::StoreUnavailable));
        auto watcher = etcd_store({ { { "127.0.0.1", server.port() } } });
        CHECK((codeOf([&] { return watcher.watch("head", 0, callDeadline()); }) == result_code::StoreUnavailable));
    }
}

TEST_CASE("an endpoint that refuses connections is skipped; when it is the only one, the store is unavailable")
{
    auto running = running_store();
    // The port of a closed listener refuses connections.
    auto closedPort = [] {
        auto context = boost::asio::io_context(1);
        return boost::asio::ip::tcp::acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 }).local_endpoint().port();
    }();
    auto closed = endpoint { "127.0.0.1", closedPort };
    auto two = etcd_store({ { closed, running.address() } });
    CHECK(two.compareAndSwap("head", 0, "value", callDeadline()).has_value());
    auto one = etcd_store({ { closed } });
    CHECK((codeOf([&] { return one.get("head", callDeadline()); }) == result_code::StoreUnavailable));
    CHECK((codeOf([&] { return one.get("head", callDeadline()); }) == result_code::StoreUnavailable));
}

TEST_CASE("calls beyond the budget are refused and counted, and are not sent")
{
    auto running = running_store();
    auto tested = etcd_store({ { running.address() }, { 1, 3 } });
    for (auto call = 0; call < 3; ++call)
        CHECK(tested.get("head", callDeadline()).has_value());
    CHECK((codeOf([&] { return tested.get("head", callDeadline()); }) == result_code::StoreBudgetSpent));
    CHECK(tested.callCounts().refused == 1);
    running.onServer([](auto& state) { CHECK(state.counts.gets == 3); });
}

TEST_CASE("a lease has one holder at a time, who can renew it")
{
    auto running = running_store();
    auto one = etcd_store({ { running.address() } });
    auto two = etcd_store({ { running.address() } });
    auto until = wallClockNow() + seconds(60);
    CHECK(one.acquireLease("reader", "one", until, callDeadline()).value().has_value());
    CHECK_FALSE(two.acquireLease("reader", "two", until, callDeadline()).value().has_value());
    CHECK(one.acquireLease("reader", "one", until, callDeadline()).value().has_value());
}

} // namespace gypsumhub
