#include "gypsumhub/fleet/store_reader_thread.h"

#include "gypsumhub/core/clock.h"

#include <chrono>

namespace gypsumhub {

store_reader_thread::store_reader_thread(const store_reader::settings& limits, store& source, store_reader_host& host)
    : m_reader(limits, source, host)
    , m_thread([this] { run(); })
{
}

store_reader_thread::~store_reader_thread()
{
    requestStop();
    m_thread.join();
}

auto store_reader_thread::requestStop() -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_stopping = true;
    m_stopRequested.notify_all();
}

auto store_reader_thread::run() -> void
{
    auto next = wallClockNow();
    while (waitUntil(next))
        next = m_reader.step(wallClockNow());
}

// Returns false when a stop was requested.
auto store_reader_thread::waitUntil(time_point next) -> bool
{
    auto lock = std::unique_lock(m_mutex);
    auto sinceEpoch = std::chrono::duration_cast<std::chrono::system_clock::duration>(std::chrono::nanoseconds(next.ns));
    m_stopRequested.wait_until(lock, std::chrono::system_clock::time_point(sinceEpoch), [&] { return m_stopping; });
    return !m_stopping;
}

} // namespace gypsumhub
