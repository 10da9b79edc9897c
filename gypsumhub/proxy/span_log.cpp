#include "gypsumhub/proxy/span_log.h"

#include <chrono>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto maxQueuedLines = 8192;
    constexpr auto writeInterval = std::chrono::milliseconds(50);

} // namespace

span_log::span_log(const std::string& path)
    : m_file(std::fopen(path.c_str(), "a"))
{
    m_lines.set_capacity(maxQueuedLines);
    if (m_file)
        m_thread = std::thread([this] { writeLoop(); });
}

span_log::~span_log()
{
    m_stopRequested = true;
    if (m_thread.joinable())
        m_thread.join();
    if (m_file)
        std::fclose(m_file);
}

auto span_log::append(std::string line) -> void
{
    if (!m_lines.try_push(std::move(line)))
        m_dropped.fetch_add(1, std::memory_order_relaxed);
}

auto span_log::writeLoop() -> void
{
    // Polls, so that request threads need no system call to wake this thread.
    while (!m_stopRequested) {
        writeQueued();
        std::this_thread::sleep_for(writeInterval);
    }
    writeQueued();
}

auto span_log::writeQueued() -> void
{
    auto line = std::string {};
    while (m_lines.try_pop(line)) {
        std::fputs(line.c_str(), m_file);
        std::fputc('\n', m_file);
    }
    std::fflush(m_file);
}

} // namespace gypsumhub
