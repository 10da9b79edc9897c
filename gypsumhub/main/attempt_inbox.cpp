#include "gypsumhub/main/attempt_inbox.h"

namespace gypsumhub {

namespace {

    constexpr auto maxQueuedReports = size_t { 65536 };

}

auto attempt_inbox::onAttempt(const attempt_report& report) -> void
{
    if (m_queued.fetch_add(1, std::memory_order_relaxed) >= maxQueuedReports) {
        m_queued.fetch_sub(1, std::memory_order_relaxed);
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    m_reports.push(report);
}

auto attempt_inbox::drain(const std::function<void(const attempt_report&)>& consume) -> void
{
    auto report = attempt_report {};
    while (m_reports.try_pop(report)) {
        m_queued.fetch_sub(1, std::memory_order_relaxed);
        consume(report);
    }
}

auto attempt_inbox::dropped() const -> uint64_t
{
    return m_dropped.load(std::memory_order_relaxed);
}

} // namespace gypsumhub
