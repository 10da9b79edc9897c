#pragma once

#include <functional>
#include <utility>

namespace gypsumhub {

/// Cancels the work of one request when its caller disconnects. Used by one thread only.
class request_cancellation {
public:
    /// Marks the request as cancelled and calls the handler, if set, once.
    auto cancel() -> void
    {
        m_cancelled = true;
        // Cleared first, because the handler may set a new one.
        if (auto handler = std::exchange(m_handler, nullptr))
            handler();
    }

    auto cancelled() const -> bool { return m_cancelled; }

    /// Sets the function that `cancel` calls; null removes it.
    auto setHandler(std::function<void()> handler) -> void { m_handler = std::move(handler); }

private:
    bool m_cancelled { false };
    std::function<void()> m_handler;
};

} // namespace gypsumhub
