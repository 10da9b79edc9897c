#include "gypsumhub/decision/selection/priority_turns.h"

#include <algorithm>

namespace gypsumhub {

auto priority_turns::next(const placement_queue& queue, const share_lookup& servedShare) const -> std::optional<waiting_request>
{
    auto first = queue.first();
    if (!first)
        return first;
    for (auto& [priority, passedOver] : m_passedOver) {
        if (priority <= first->priority || passedOver + 1 < placementsPerTurn)
            continue;
        auto waiting = queue.firstOf(priority);
        if (waiting && servedShare(priority) <= servedShare(first->priority))
            return waiting;
    }
    return first;
}

auto priority_turns::recordPlaced(uint32_t priority, const placement_queue& queue) -> void
{
    std::erase_if(m_passedOver, [&](auto& entry) { return entry.first == priority || !queue.firstOf(entry.first); });
    auto previous = priority;
    for (auto& waiting : queue.waiting()) {
        if (waiting.priority > previous)
            ++m_passedOver[waiting.priority];
        previous = std::max(previous, waiting.priority);
    }
}

} // namespace gypsumhub
