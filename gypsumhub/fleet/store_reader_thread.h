#pragma once

#include "gypsumhub/fleet/store_reader.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace gypsumhub {

/// Runs a `store_reader` on a thread of its own by the wall clock.
class store_reader_thread {
public:
    /// The references must outlive the thread.
    store_reader_thread(const store_reader::settings&, store&, store_reader_host&);

    /// Stops the thread and joins it, which takes as long as the current store call.
    ~store_reader_thread();
    store_reader_thread(const store_reader_thread&) = delete;
    auto operator=(const store_reader_thread&) -> store_reader_thread& = delete;

    /// Makes the thread end after the current store call, without waiting for it.
    auto requestStop() -> void;

private:
    auto run() -> void;
    auto waitUntil(time_point) -> bool;

    store_reader m_reader;
    std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    bool m_stopping { false };
    std::thread m_thread;
};

} // namespace gypsumhub
