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
    /// Mean time between two readings until `setFleetSize`; each wait is jittered by a quarter, so that nodes started together
    /// spread out.
    duration interval { seconds(2) };
    /// Seeds the jitter.
    uint64_t seed { 1 };
};

/// Reads the platform's list of VMs again and again on a thread of its own.
class vm_list_poller {
public:
    /// `listener` hears each list that differs from the one before, on the poller's thread.
    vm_list_poller(const vm_list_poller_settings&, std::function<void(vm_list_event)> listener);

    /// Stretches the interval so that all nodes together read at most about `fleetReadsPerSecond`. Any thread may call it.
    auto setFleetSize(size_t nodes) -> void;

    /// Mean time between two readings of one node in a fleet of this size.
    static auto intervalFor(duration shortest, size_t nodes) -> duration;

    /// Readings a second of the whole fleet; small beside the platform's two thousand.
    static constexpr auto fleetReadsPerSecond = int64_t { 100 };

    /// Readings that failed so far.
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
