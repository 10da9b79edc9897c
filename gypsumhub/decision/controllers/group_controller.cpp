#include "gypsumhub/decision/controllers/group_controller.h"

#include "gypsumhub/decision/distance.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace gypsumhub {

namespace {

    auto difference(std::span<const node_key> from, std::span<const node_key> without) -> std::vector<node_key>
    {
        auto result = std::vector<node_key> {};
        std::ranges::set_difference(from, without, std::back_inserter(result));
        return result;
    }

} // namespace

group_controller::group_controller(blackboard& board)
    : m_board(board)
{
}

auto group_controller::onMembership(const membership_event& event) -> void
{
    auto alive = event.alive;
    std::ranges::sort(alive);
    if (m_board.membershipReceived && m_board.alive == alive)
        return;
    auto before = std::exchange(m_board.alive, std::move(alive));
    auto wasReceived = std::exchange(m_board.membershipReceived, true);
    listCandidates();
    if (!wasReceived) {
        // Until now every registered node was assumed to be alive.
        for (auto& service : m_board.services)
            chooseGroup(service);
        return;
    }
    chooseAffected(difference(before, m_board.alive), difference(m_board.alive, before));
}

auto group_controller::onConfiguration() -> void
{
    auto nodesChanged = haveNodesChanged();
    m_config = m_board.config;
    indexNodes();
    listCandidates();
    for (auto& service : m_board.services) {
        // The size of the group depends on the slots of the service.
        if (nodesChanged || service.groupMembers != membersOf(service))
            chooseGroup(service);
    }
}

auto group_controller::haveNodesChanged() const -> bool
{
    return !m_config || m_config->nodes != m_board.config->nodes || m_config->dataCentres != m_board.config->dataCentres;
}

auto group_controller::indexNodes() -> void
{
    // Data centres are numbered in order of name, so that all nodes use the same numbers.
    auto indexes = std::map<std::string_view, uint16_t> {};
    for (auto& [name, spec] : m_config->dataCentres)
        indexes.emplace(name, static_cast<uint16_t>(indexes.size()));
    m_registered.clear();
    for (auto& [name, node] : m_config->nodes) {
        auto distance = distanceBetween(*m_config, m_board.settings.dataCentre, node.dataCentre);
        m_registered.insert({ node.key, { { node.key, { indexes[node.dataCentre] } }, &node, distance } });
    }
}

auto group_controller::listCandidates() -> void
{
    m_candidates.clear();
    for (auto& [key, entry] : m_registered) {
        if (isAlive(key))
            m_candidates.push_back(entry.candidate);
    }
}

auto group_controller::isAlive(node_key key) const -> bool
{
    // Until the first membership event, every registered node is assumed to be alive.
    return !m_board.membershipReceived || std::ranges::binary_search(m_board.alive, key);
}

auto group_controller::chooseAffected(std::span<const node_key> left, std::span<const node_key> joined) -> void
{
    for (auto& service : m_board.services) {
        if (isAffected(service, left, joined))
            chooseGroup(service);
    }
}

auto group_controller::isAffected(const service_record& service, std::span<const node_key> left, std::span<const node_key> joined) const -> bool
{
    auto hasMember = [&](node_key node) { return std::ranges::find(service.group, node, &member_view::key) != service.group.end(); };
    auto joins = [&](node_key node) { return wouldJoin(service, node); };
    return std::ranges::any_of(left, hasMember) || std::ranges::any_of(joined, joins);
}

auto group_controller::wouldJoin(const service_record& service, node_key node) const -> bool
{
    auto entry = m_registered.find(node);
    if (entry == m_registered.end())
        return false;
    // It joins when its data centre has fewer members than allowed, or when it ranks before a member there.
    auto members = uint32_t { 0 };
    for (auto& member : service.group) {
        if (member.dataCentre != entry->second.spec->dataCentre)
            continue;
        ++members;
        if (ranksBefore(service.spec->key, node, member.key))
            return true;
    }
    return members < service.groupMembers;
}

auto group_controller::membersOf(const service_record& service) const -> uint32_t
{
    auto slots = uint32_t { 0 };
    for (auto& target : service.targets)
        slots += target.slots;
    return membersPerDataCentre(slots, m_config->dataCentres.size(), m_board.settings.membersPerDataCentre);
}

auto group_controller::makeMember(node_key key) const -> member_view
{
    auto& entry = m_registered.at(key);
    return { key, entry.spec->callerAddress, entry.distance, entry.spec->dataCentre };
}

auto group_controller::chooseGroup(service_record& service) -> void
{
    service.groupMembers = membersOf(service);
    auto chosen = chooseServingGroup(service.spec->key, m_candidates, service.groupMembers);
    // Nearest first, then in order of name.
    std::ranges::sort(chosen, {}, [this](node_key key) {
        auto& entry = m_registered.at(key);
        return std::tuple<uint8_t, std::string_view>(entry.distance, entry.spec->name);
    });
    auto group = std::vector<member_view> {};
    group.reserve(chosen.size());
    for (auto key : chosen)
        group.push_back(makeMember(key));

    // A node that is not registered, as in small experiments, serves every service itself.
    auto isRegistered = m_registered.contains(m_board.settings.self);
    auto servedHere = !isRegistered || std::ranges::find(group, m_board.settings.self, &member_view::key) != group.end();
    if (group == service.group && servedHere == service.servedHere)
        return;
    service.group = std::move(group);
    service.servedHere = servedHere;
    service.unpublished = true;
    service.slotsStale = true;
    m_board.markChanged(service);
}

} // namespace gypsumhub
