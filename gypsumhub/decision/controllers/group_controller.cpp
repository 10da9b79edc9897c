#include "gypsumhub/decision/controllers/group_controller.h"

#include "gypsumhub/decision/distance.h"

#include <algorithm>
#include <map>

namespace gypsumhub {

group_controller::group_controller(blackboard& board)
    : m_board(board)
{
}

auto group_controller::onMembership(const membership_event& event) -> void
{
    if (m_board.membershipKnown && m_board.alive == event.alive)
        return;
    m_board.alive = event.alive;
    std::ranges::sort(m_board.alive);
    m_board.membershipKnown = true;
    chooseGroups();
}

auto group_controller::chooseGroups() -> void
{
    if (!m_board.config)
        return;
    auto nodes = candidates();
    for (auto& service : m_board.services)
        chooseGroup(service, nodes);
}

auto group_controller::candidates() const -> std::vector<group_candidate>
{
    // Data centres are numbered in order of name, which all nodes agree on.
    auto indexes = std::map<std::string_view, uint16_t> {};
    for (auto& [name, spec] : m_board.config->dataCentres)
        indexes.emplace(name, static_cast<uint16_t>(indexes.size()));
    auto nodes = std::vector<group_candidate> {};
    for (auto& [name, node] : m_board.config->nodes) {
        if (isAlive(node.key))
            nodes.push_back({ node.key, { indexes[node.dataCentre] } });
    }
    return nodes;
}

auto group_controller::isAlive(node_key key) const -> bool
{
    // Until the membership is known, every registered node may be alive.
    return !m_board.membershipKnown || std::ranges::binary_search(m_board.alive, key);
}

auto group_controller::chooseGroup(service_record& service, const std::vector<group_candidate>& nodes) -> void
{
    auto chosen = chooseServingGroup(service.spec->key, nodes, m_board.settings.membersPerDataCentre);
    auto group = std::vector<member_view> {};
    for (auto& [name, node] : m_board.config->nodes) {
        if (std::ranges::find(chosen, node.key) == chosen.end())
            continue;
        auto distance = distanceBetween(*m_board.config, m_board.settings.dataCentre, node.dataCentre);
        group.push_back({ node.key, node.callerAddress, distance, node.dataCentre });
    }
    std::ranges::stable_sort(group, {}, &member_view::distance);

    // A node that is not registered, as in small trials, serves everything itself.
    auto registered = std::ranges::any_of(m_board.config->nodes, [&](auto& entry) { return entry.second.key == m_board.settings.self; });
    auto served = !registered || std::ranges::find(group, m_board.settings.self, &member_view::key) != group.end();
    if (group == service.group && served == service.servedHere)
        return;
    service.group = std::move(group);
    service.servedHere = served;
    service.unpublished = true;
    service.slotsStale = true;
    m_board.markChanged(service);
}

} // namespace gypsumhub
