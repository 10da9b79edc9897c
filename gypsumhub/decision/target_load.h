#pragma once

#include <atomic>
#include <cstdint>

namespace gypsumhub {

/// Work that this node has in flight at one target. Shared by all snapshots that name the target; request threads change it.
struct target_load {
    /// Requests sent and not yet ended.
    std::atomic<uint32_t> inFlight { 0 };
    /// Requests ever started; breaks ties fairly.
    std::atomic<uint64_t> started { 0 };
};

} // namespace gypsumhub
