#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/decision/request/retry_budget.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <tbb/concurrent_unordered_map.h>

namespace gypsumhub {

/// State of one service that all request threads share.
struct service_shared_state {
    retry_budget retries;
    /// Requests that wait for a slot, over all threads.
    std::atomic<uint32_t> waiting { 0 };
};

/// Maps services to their shared state. Lookups take no lock. Entries are never removed, so the table grows to the number of
/// services ever configured.
class service_shared_state_table {
public:
    /// Returns the state of a service; creates it on first use.
    auto find(service_key key) -> service_shared_state&
    {
        auto found = m_entries.find(key.value);
        if (found == m_entries.end())
            found = m_entries.emplace(key.value, std::make_shared<service_shared_state>()).first;
        return *found->second;
    }

private:
    tbb::concurrent_unordered_map<uint64_t, std::shared_ptr<service_shared_state>> m_entries;
};

} // namespace gypsumhub
