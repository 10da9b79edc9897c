#include "gypsumhub/gateway/failure_guard.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto restartPause = milliseconds(100);

    auto reasonOf(const std::exception_ptr& failure) -> std::string
    {
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& exception) {
            return exception.what();
        } catch (...) {
            return "unknown";
        }
    }

    auto recordFailure(gateway_context& context, std::string_view where, const std::exception_ptr& failure) -> void
    {
        ++context.counters.internalFailures;
        try {
            context.log.write(log_class::Notable, "internal_failure", { { "where", where }, { "reason", reasonOf(failure) } });
        } catch (const std::exception&) {
            // Without memory the line is left out; the counter shows the failure.
            return;
        }
    }

    auto runAnew(gateway_context& context, std::string where, std::function<task<>()> loop) -> task<>
    {
        auto timer = steady_timer(context.io.get_executor());
        for (;;) {
            auto failure = std::exception_ptr {};
            try {
                auto running = loop();
                co_await std::move(running);
            } catch (...) {
                failure = std::current_exception();
            }
            if (!failure)
                co_return;
            recordFailure(context, where, failure);
            co_await sleepUntil(timer, bootClockNow() + restartPause);
        }
    }

} // namespace

auto callGuarded(gateway_context& context, std::string_view where, const std::function<void()>& action) -> bool
{
    try {
        action();
        return true;
    } catch (...) {
        recordFailure(context, where, std::current_exception());
        return false;
    }
}

auto spawnGuarded(gateway_context& context, std::string where, task<> work, std::function<void()> onEnd) -> void
{
    asio::co_spawn(context.io.get_executor(), std::move(work), [&context, where = std::move(where), onEnd = std::move(onEnd)](const std::exception_ptr& failure) {
        if (failure)
            recordFailure(context, where, failure);
        if (onEnd)
            onEnd();
    });
}

auto spawnLoop(gateway_context& context, std::string where, std::function<task<>()> loop) -> void
{
    spawnGuarded(context, where, runAnew(context, where, std::move(loop)));
}

} // namespace gypsumhub
