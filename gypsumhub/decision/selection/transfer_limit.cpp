#include "gypsumhub/decision/selection/transfer_limit.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // At this rate a configuration of 2,000 routes, 400 KB, arrives within half a second.
    constexpr auto megabitsPerTransfer = 8.0;
    // For a node whose settings do not state its link.
    constexpr auto assumedMegabits = 100.0;
    // Sending less than this takes no noticeable time.
    constexpr auto smallListingBytes = size_t { 32 * 1024 };

} // namespace

transfer_limit::transfer_limit(double linkMegabits)
    : m_maxTransfers(std::max<size_t>(1, static_cast<size_t>((linkMegabits > 0 ? linkMegabits : assumedMegabits) / megabitsPerTransfer)))
{
}

auto transfer_limit::acquire(size_t bytes) -> std::shared_ptr<void>
{
    if (bytes < smallListingBytes)
        return std::make_shared<int>();
    if (*m_transfers >= m_maxTransfers)
        return nullptr;
    ++*m_transfers;
    // The count outlives this object for transfers that end later.
    return { m_transfers.get(), [transfers = m_transfers](void*) { --*transfers; } };
}

} // namespace gypsumhub
