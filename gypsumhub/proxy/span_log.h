#pragma once

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <tbb/concurrent_queue.h>
#include <thread>

namespace gypsumhub {

/// Writes finished spans as JSON lines to a file on its own thread. Request threads append to a bounded queue; when it is
/// full, spans are dropped and counted.
class span_log {
public:
    /// Opens the file at `path` for appending and starts the writer thread.
    explicit span_log(const std::string& path);
    /// Writes the queued lines and closes the file.
    ~span_log();
    span_log(const span_log&) = delete;
    auto operator=(const span_log&) -> span_log& = delete;

    /// Whether the file could be opened.
    auto isOpen() const -> bool { return m_file != nullptr; }
    /// Queues one line without blocking. Any thread may call it.
    auto append(std::string line) -> void;
    auto dropped() const -> uint64_t { return m_dropped.load(std::memory_order_relaxed); }

private:
    auto writeLoop() -> void;
    auto writeQueued() -> void;

    std::FILE* m_file { nullptr };
    tbb::concurrent_bounded_queue<std::string> m_lines;
    std::atomic<uint64_t> m_dropped { 0 };
    std::atomic<bool> m_stopRequested { false };
    std::thread m_thread;
};

} // namespace gypsumhub
