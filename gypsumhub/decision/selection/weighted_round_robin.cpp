#include "gypsumhub/decision/selection/weighted_round_robin.h"

#include <algorithm>

namespace gypsumhub {

weighted_round_robin::weighted_round_robin(std::span<const weighted_service> services, double phase)
{
    for (auto& service : services) {
        m_entries.push_back({ service, phase * service.weight });
        m_totalWeight += service.weight;
    }
}

auto weighted_round_robin::next() -> std::string_view
{
    for (auto& entry : m_entries)
        entry.credit += entry.service.weight;
    // An entry of weight 0 never gains credit and must not win a tie.
    auto least = [](const entry& a, const entry& b) {
        if ((a.service.weight == 0) != (b.service.weight == 0))
            return a.service.weight == 0;
        return a.credit < b.credit;
    };
    auto& chosen = *std::ranges::max_element(m_entries, least);
    chosen.credit -= m_totalWeight;
    return chosen.service.service;
}

auto weighted_round_robin::matches(std::span<const weighted_service> services) const -> bool
{
    auto isSame = [](const entry& own, const weighted_service& other) { return own.service.service == other.service && own.service.weight == other.weight; };
    return std::ranges::equal(m_entries, services, isSame);
}

} // namespace gypsumhub
