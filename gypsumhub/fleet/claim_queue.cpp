#include "gypsumhub/fleet/claim_queue.h"

#include <algorithm>
#include <bit>

namespace gypsumhub {

namespace {

    constexpr auto freshTells = uint32_t { 4 };
    constexpr auto tellsPerDoubling = uint32_t { 2 };

} // namespace

auto claim_queue::add(node_key node, std::size_t fleetSize) -> void
{
    std::erase_if(m_entries, [&](auto& entry) { return entry.node == node; });
    m_entries.push_back({ node, tellsPerDoubling * static_cast<uint32_t>(std::bit_width(fleetSize) + 1), freshTells });
}

auto claim_queue::takeForProbe(std::size_t limit) -> std::vector<node_key>
{
    // Told least first, so that a burst of news does not starve the latest.
    std::ranges::stable_sort(m_entries, std::ranges::greater {}, &entry::tellsLeft);
    auto taken = std::vector<node_key> {};
    for (auto& entry : m_entries) {
        if (taken.size() == limit)
            break;
        taken.push_back(entry.node);
        --entry.tellsLeft;
    }
    dropTold();
    return taken;
}

auto claim_queue::takeFresh(std::size_t limit, uint32_t receivers) -> std::vector<node_key>
{
    auto taken = std::vector<node_key> {};
    for (auto& entry : m_entries) {
        if (taken.size() == limit)
            break;
        if (entry.freshTellsLeft == 0)
            continue;
        taken.push_back(entry.node);
        entry.freshTellsLeft -= std::min(receivers, entry.freshTellsLeft);
    }
    return taken;
}

auto claim_queue::hasFresh() const -> bool
{
    return std::ranges::any_of(m_entries, [](auto& entry) { return entry.freshTellsLeft != 0; });
}

auto claim_queue::dropTold() -> void
{
    std::erase_if(m_entries, [](auto& entry) { return entry.tellsLeft == 0; });
}

} // namespace gypsumhub
