#pragma once

#include "gypsumhub/proxy/attempt_listener.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <tbb/concurrent_queue.h>

namespace gypsumhub {

/// Queues attempt reports from request threads for the control thread, without locks. When the queue is full because the
/// control thread is too slow, reports are dropped and counted.
class attempt_inbox final : public attempt_listener {
public:
    auto onAttempt(const attempt_report&) -> void override;

    /// Passes all queued reports to `consume`, in order of arrival. Control thread only.
    auto drain(const std::function<void(const attempt_report&)>& consume) -> void;

    /// Returns the number of reports dropped so far. Any thread may call it.
    auto dropped() const -> uint64_t;

private:
    // Uses the standard allocator, because thread sanitizer cannot track how oneTBB's allocator passes pages between threads.
    tbb::concurrent_queue<attempt_report, std::allocator<attempt_report>> m_reports;
    std::atomic<size_t> m_queued { 0 };
    std::atomic<uint64_t> m_dropped { 0 };
};

} // namespace gypsumhub
