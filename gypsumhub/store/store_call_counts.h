#pragma once

#include <cstdint>
#include <string>

namespace gypsumhub {

/// Number of calls to the store since the start, by kind. A waiting watch counts as one.
struct store_call_counts {
    uint64_t gets { 0 };
    uint64_t swaps { 0 };
    uint64_t removals { 0 };
    uint64_t leases { 0 };
    uint64_t watches { 0 };
    /// Calls that the call budget refused; they were not sent.
    uint64_t refused { 0 };

    auto total() const -> uint64_t { return gets + swaps + removals + leases + watches; }
    auto operator==(const store_call_counts&) const -> bool = default;
};

/// Formats the counts as "gets 3, swaps 1, removals 0, leases 0, watches 2, refused 0, total 6".
auto formatCallCounts(const store_call_counts&) -> std::string;

} // namespace gypsumhub
