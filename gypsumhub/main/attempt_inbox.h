#pragma once

#include "gypsumhub/proxy/attempt_listener.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <tbb/concurrent_queue.h>

namespace gypsumhub {

/// Carries attempt reports from request threads to the control thread without a lock. When the control thread falls behind,
/// reports are dropped and counted rather than held without bound.
class attempt_inbox final : public attempt_listener {
public:
    auto onAttempt(const attempt_report&) -> void override;

    /// Hands all waiting reports to `consume`, in order of arrival. Only the control thread may call it.
    auto drain(const std::function<void(const attempt_report&)>& consume) -> void;

    /// Reports dropped so far.
    auto dropped() const -> uint64_t;

private:
    // The standard allocator, because the thread sanitizer cannot see how oneTBB's own hands pages from thread to thread.
    tbb::concurrent_queue<attempt_report, std::allocator<attempt_report>> m_reports;
    std::atomic<size_t> m_waiting { 0 };
    std::atomic<uint64_t> m_dropped { 0 };
};

} // namespace gypsumhub
