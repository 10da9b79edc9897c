#include "gypsumhub/gateway/failure_guard.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <stdexcept>
#include <unistd.h>

using namespace gypsumhub;

namespace {

auto settingsFor(int descriptor) -> gateway_settings
{
    auto settings = gateway_settings {};
    settings.name = "n1";
    settings.logDescriptor = descriptor;
    return settings;
}

auto fail() -> void
{
    throw std::runtime_error("of the test");
}

// Suspends once, so that the exception comes from the event loop.
auto failLater(gateway_context& context) -> task<>
{
    auto timer = steady_timer(context.io.get_executor());
    co_await sleepUntil(timer, bootClockNow() + milliseconds(1));
    fail();
}

} // namespace

TEST_CASE("FAULT: an exception in a coroutine, a handler or a step is counted and logged, and what comes after it still runs")
{
    auto ends = std::array<int, 2> {};
    REQUIRE(::pipe(ends.data()) == 0);
    auto context = gateway_context(settingsFor(ends[1]));
    auto hasEnded = false, hasContinued = false;
    spawnGuarded(context, "request", failLater(context), [&] { hasEnded = true; });
    asio::post(context.io, [&] {
        CHECK_FALSE(callGuarded(context, "handler", fail));
        CHECK(callGuarded(context, "step", [&] { hasContinued = true; }));
    });
    CHECK_NOTHROW(context.io.run());
    CHECK(hasEnded);
    CHECK(hasContinued);
    CHECK(context.counters.internalFailures == 2);
    context.log.flush();
    auto text = std::array<char, 1024> {};
    auto count = ::read(ends[0], text.data(), text.size());
    auto lines = std::string_view(text.data(), static_cast<size_t>(std::max<ssize_t>(count, 0)));
    CHECK(lines.find(R"("event":"internal_failure","where":"request","reason":"of the test")") != std::string_view::npos);
    CHECK(lines.find(R"("where":"handler")") != std::string_view::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("FAULT: a loop that an exception has ended goes on")
{
    auto ends = std::array<int, 2> {};
    REQUIRE(::pipe(ends.data()) == 0);
    auto context = gateway_context(settingsFor(ends[1]));
    auto rounds = 0;
    spawnLoop(context, "watch", [&]() -> task<> {
        ++rounds;
        if (rounds < 3)
            co_await failLater(context);
    });
    CHECK_NOTHROW(context.io.run());
    CHECK(rounds == 3);
    CHECK(context.counters.internalFailures == 2);
    ::close(ends[0]);
    ::close(ends[1]);
}
