#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/event.h"

#include <atomic>
#include <functional>
#include <thread>

namespace gypsumhub {

/// Settings of a `vm_list_poller`.
struct vm_list_poller_settings {
    endpoint address;
    /// Mean time between two reads until `setFleetSize` is called. Each wait has a jitter of up to a quarter, so that nodes that
    /// start at the same time do not read at the same time.
    duration interval { seconds(2) };
    /// Seeds the jitter.
    uint64_t seed { 1 };
};

/// Polls the platform's list of VMs on its own thread.
class vm_list_poller {
public:
    /// `listener` receives each list that differs from the previous one, on the poller's thread.
    vm_list_poller(const vm_list_poller_settings&, std::function<void(vm_list_event)> listener);

    /// Extends the interval so that all nodes together read at most about `fleetReadsPerSecond`. Any thread may call it.
    auto setFleetSize(size_t nodes) -> void;

    /// Returns the mean time between two reads of one node in a fleet of this size.
    static auto intervalFor(duration shortest, size_t nodes) -> duration;

    /// Maximum reads per second of the whole fleet; well below the platform's limit of 2000.
    static constexpr auto fleetReadsPerSecond = int64_t { 100 };

    /// Returns the number of failed reads so far. Any thread may call it.
    auto failures() const -> uint64_t;

private:
    auto loop(const std::stop_token&) -> void;

    vm_list_poller_settings m_settings;
    std::function<void(vm_list_event)> m_listener;
    std::atomic<uint64_t> m_failures { 0 };
    std::atomic<int64_t> m_intervalNs;
    std::jthread m_thread;
};

} // namespace gypsumhub
