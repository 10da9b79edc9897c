#include "gypsumhub/main/attempt_inbox.h"
#include "gypsumhub/main/control_thread.h"

#include <doctest/doctest.h>
#include <future>
#include <thread>
#include <vector>

namespace gypsumhub {

TEST_CASE("the inbox passes every report of all request threads to the control thread")
{
    constexpr auto threads = 3;
    constexpr auto reportsEach = 2000;
    auto inbox = attempt_inbox {};
    auto senders = std::vector<std::jthread> {};
    for (auto sender = 0; sender < threads; ++sender) {
        senders.emplace_back([&] {
            for (auto count = 0; count < reportsEach; ++count)
                inbox.onAttempt({});
        });
    }
    auto received = 0;
    while (received < threads * reportsEach)
        inbox.drain([&](auto&) { ++received; });
    CHECK(received == threads * reportsEach);
    CHECK(inbox.dropped() == 0);
}

TEST_CASE("a full inbox drops and counts further reports")
{
    auto inbox = attempt_inbox {};
    for (auto count = 0; count < 65536 + 10; ++count)
        inbox.onAttempt({});
    CHECK(inbox.dropped() == 10);
}

TEST_CASE("work posted from several threads runs on the control thread, and runAndWait returns its result")
{
    auto control = control_thread {};
    auto counter = 0;
    auto ticked = std::promise<void> {};
    auto ticks = 0;
    control.runEvery(milliseconds(1), [&] {
        if (++ticks == 3)
            ticked.set_value();
    });
    control.start();
    {
        auto posters = std::vector<std::jthread> {};
        for (auto poster = 0; poster < 3; ++poster) {
            posters.emplace_back([&] {
                for (auto count = 0; count < 500; ++count)
                    control.post([&] { ++counter; });
            });
        }
    }
    auto seen = control.runAndWait<int>([&] { return counter; }, seconds(60));
    CHECK(seen == 1500);
    ticked.get_future().wait();
}

} // namespace gypsumhub
