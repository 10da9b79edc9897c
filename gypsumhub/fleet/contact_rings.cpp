#include "gypsumhub/fleet/contact_rings.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // The nodes within `reach` of `self`, ordered by the ring's hash and rotated so that the successor of `self` is first.
    auto makeRing(std::span<const member> members, const registered_node& self, peer_distance reach, uint64_t ringNumber)
        -> std::vector<node_key>
    {
        struct placed_node {
            uint64_t position;
            node_key key;
        };
        auto placed = std::vector<placed_node> {};
        for (auto& entry : members) {
            if (distanceBetween(entry.node, self) <= reach && entry.node.key != self.key)
                placed.push_back({ mixHashes(entry.node.key.value, ringNumber), entry.node.key });
        }
        std::ranges::sort(placed, {}, &placed_node::position);
        auto ownPosition = mixHashes(self.key.value, ringNumber);
        auto successor = std::ranges::upper_bound(placed, ownPosition, {}, &placed_node::position);
        std::ranges::rotate(placed, successor);
        auto ring = std::vector<node_key> {};
        ring.reserve(placed.size());
        for (auto& node : placed)
            ring.push_back(node.key);
        return ring;
    }

} // namespace

auto contact_rings::rebuild(std::span<const member> members, node_key self, const ring_counts& counts) -> void
{
    m_rings.clear();
    m_self = self;
    auto own = std::ranges::find(members, self, [](auto& entry) { return entry.node.key; });
    if (own == members.end())
        return;
    auto number = uint64_t { 1 };
    auto addRings = [&](uint32_t count, peer_distance reach) {
        for (auto index = uint32_t { 0 }; index < count; ++index)
            m_rings.push_back(makeRing(members, own->node, reach, number++));
    };
    addRings(counts.dataCentre, peer_distance::SameDataCentre);
    addRings(counts.region, peer_distance::SameRegion);
    addRings(counts.fleet, peer_distance::OtherRegion);
}

auto contact_rings::refresh(const member_table& table) -> void
{
    m_contacts.clear();
    for (auto& ring : m_rings) {
        // Skips dead nodes and contacts of nearer rings, so that the number of contacts stays the same.
        auto isContact = [&](node_key key) {
            auto* entry = table.find(key);
            return entry && entry->isReachable() && std::ranges::find(m_contacts, key) == m_contacts.end();
        };
        auto next = std::ranges::find_if(ring, isContact);
        if (next != ring.end())
            m_contacts.push_back(*next);
    }
    auto* own = table.find(m_self);
    auto isRegional = [&](node_key key) {
        return distanceBetween(own->node, table.find(key)->node) != peer_distance::OtherRegion;
    };
    auto others = std::ranges::stable_partition(m_contacts, isRegional);
    m_regionalCount = m_contacts.size() - others.size();
    if (m_regionalCount == 0)
        m_regionalCount = m_contacts.size();
}

} // namespace gypsumhub
