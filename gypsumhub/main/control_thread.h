#pragma once

#include "gypsumhub/core/time_point.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace gypsumhub {

/// The single thread that runs a node's decision, claim and fleet logic. Other threads submit work with `post`.
class control_thread {
public:
    control_thread();
    /// Stops the thread; queued work is dropped.
    ~control_thread();
    control_thread(const control_thread&) = delete;
    auto operator=(const control_thread&) -> control_thread& = delete;

    /// Starts the thread.
    auto start() -> void;

    /// Runs `work` on the thread, after all work posted earlier. Any thread may call it.
    auto post(std::function<void()> work) -> void;

    /// Runs `work` on the thread and returns its result, or nothing if it has not finished within `limit`; it may still run
    /// later. Must not be called on the thread itself.
    template <typename Result>
    auto runAndWait(std::function<Result()> work, duration limit) -> std::optional<Result>;

    /// Calls `work` on the thread every `interval` until destruction. Must be called before `start`.
    auto runEvery(duration interval, std::function<void()> work) -> void;

    /// Returns the event loop, for asynchronous operations whose handlers run on the thread.
    auto context() -> boost::asio::io_context&;

    /// Returns the CPU time that the thread has used so far. Any thread may call it.
    auto cpuTime() const -> duration;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub

#include "gypsumhub/main/control_thread.inl"
