#pragma once

#include <chrono>
#include <future>

namespace gypsumhub {

template <typename Result>
auto control_thread::runAndWait(std::function<Result()> work, duration limit) -> std::optional<Result>
{
    // The promise is shared, because the work may run after this call has timed out.
    auto promise = std::make_shared<std::promise<Result>>();
    auto future = promise->get_future();
    post([promise, work = std::move(work)] { promise->set_value(work()); });
    if (future.wait_for(std::chrono::nanoseconds(limit.ns)) != std::future_status::ready)
        return std::nullopt;
    return future.get();
}

} // namespace gypsumhub
