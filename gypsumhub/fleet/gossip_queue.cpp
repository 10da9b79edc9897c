#include "gypsumhub/fleet/gossip_queue.h"

#include <algorithm>
#include <bit>

namespace gypsumhub {

namespace {

    // Transmissions in separate gossip messages.
    constexpr auto freshSends = uint32_t { 4 };
    // Piggybacked transmissions for each doubling of the fleet size; gossip reaches all nodes in logarithmic time.
    constexpr auto sendsPerDoubling = uint32_t { 2 };

} // namespace

auto gossip_queue::add(node_key node, std::size_t fleetSize) -> void
{
    std::erase_if(m_entries, [&](auto& entry) { return entry.node == node; });
    m_entries.push_back({ node, sendsPerDoubling * static_cast<uint32_t>(std::bit_width(fleetSize) + 1), freshSends });
}

auto gossip_queue::takeForProbe(std::size_t limit) -> std::vector<node_key>
{
    // Least sent first, so that a burst of changes does not starve the latest one.
    std::ranges::stable_sort(m_entries, std::ranges::greater {}, &entry::sendsLeft);
    auto taken = std::vector<node_key> {};
    for (auto& entry : m_entries) {
        if (taken.size() == limit)
            break;
        taken.push_back(entry.node);
        --entry.sendsLeft;
    }
    dropExhausted();
    return taken;
}

auto gossip_queue::takeFresh(std::size_t limit, uint32_t receivers) -> std::vector<node_key>
{
    auto taken = std::vector<node_key> {};
    for (auto& entry : m_entries) {
        if (taken.size() == limit)
            break;
        if (entry.freshSendsLeft == 0)
            continue;
        taken.push_back(entry.node);
        entry.freshSendsLeft -= std::min(receivers, entry.freshSendsLeft);
    }
    return taken;
}

auto gossip_queue::hasFresh() const -> bool
{
    return std::ranges::any_of(m_entries, [](auto& entry) { return entry.freshSendsLeft != 0; });
}

auto gossip_queue::dropExhausted() -> void
{
    std::erase_if(m_entries, [](auto& entry) { return entry.sendsLeft == 0; });
}

} // namespace gypsumhub
