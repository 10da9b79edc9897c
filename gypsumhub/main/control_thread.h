#pragma once

#include "gypsumhub/core/time_point.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace gypsumhub {

/// The one thread on which a node's pure logic runs. Work is handed over by `post`; nothing else touches that logic.
class control_thread {
public:
    control_thread();
    /// Stops the thread; work that is still waiting is dropped.
    ~control_thread();
    control_thread(const control_thread&) = delete;
    auto operator=(const control_thread&) -> control_thread& = delete;

    /// Starts the thread.
    auto start() -> void;

    /// Runs `work` on the thread, after everything posted earlier. Any thread may call it.
    auto post(std::function<void()> work) -> void;

    /// Runs `work` on the thread and returns its result, or nothing when the thread does not get to it within `limit`.
    /// Must not be called on the thread itself.
    template <typename Result>
    auto runAndWait(std::function<Result()> work, duration limit) -> std::optional<Result>;

    /// Calls `work` on the thread every `interval` until destruction. Must be called before `start`.
    auto runEvery(duration interval, std::function<void()> work) -> void;

    /// For asynchronous operations whose handlers shall run on the thread.
    auto context() -> boost::asio::io_context&;

    /// Processor time that the thread has used so far.
    auto cpuTime() const -> duration;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub

#include "gypsumhub/main/control_thread.inl"
