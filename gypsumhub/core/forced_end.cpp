#include "gypsumhub/core/forced_end.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string_view>
#include <thread>
#include <unistd.h>

namespace gypsumhub {

namespace {

    // A later call may bring the end forward, so the time is read again at least this often.
    constexpr auto maxSleep = milliseconds(20);

    [[noreturn]] auto waitForEnd(const std::atomic<int64_t>& endAt) -> void
    {
        for (;;) {
            auto left = duration { endAt.load() - bootClockNow().ns };
            if (left <= duration {})
                break;
            std::this_thread::sleep_for(std::chrono::nanoseconds(std::min(left, maxSleep).ns));
        }
        constexpr auto line = std::string_view("{\"event\":\"stop_forced\"}\n");
        [[maybe_unused]] auto written = ::write(STDOUT_FILENO, line.data(), line.size());
        ::_exit(0);
    }

} // namespace

auto forceEndAt(time_point when) -> void
{
    static auto endAt = std::atomic<int64_t> {};
    endAt = when.ns;
    // A thread and no timer signal, since the platform offers no POSIX timers.
    static const auto isStarted = [] {
        std::thread([] { waitForEnd(endAt); }).detach();
        return true;
    }();
    static_cast<void>(isStarted);
}

auto endProcess() -> void
{
    ::_exit(0);
}

} // namespace gypsumhub
