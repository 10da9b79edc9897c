#pragma once

#include <atomic>
#include <cstdint>

namespace gypsumhub {

/// Load of this node on one target. Shared by all snapshots that contain the target; changed by request threads.
struct target_load {
    /// Requests sent and not yet ended.
    std::atomic<uint32_t> inFlight { 0 };
    /// Virtual time of weighted fair queueing: a request adds 1000 at full weight and more at a lower weight, see `chooseTarget`.
    std::atomic<uint64_t> started { 0 };
};

} // namespace gypsumhub
