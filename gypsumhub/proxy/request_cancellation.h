#pragma once

#include <functional>
#include <utility>

namespace gypsumhub {

/// Tells the work of one request that its caller went away. One thread only.
class request_cancellation {
public:
    /// Raises the signal; calls the handler if one is set.
    auto cancel() -> void
    {
        m_cancelled = true;
        // The handler may set or clear the handler.
        if (auto handler = std::exchange(m_handler, nullptr))
            handler();
    }

    auto cancelled() const -> bool { return m_cancelled; }

    /// Sets what to do when the signal is raised; null for nothing.
    auto setHandler(std::function<void()> handler) -> void { m_handler = std::move(handler); }

private:
    bool m_cancelled { false };
    std::function<void()> m_handler;
};

} // namespace gypsumhub
