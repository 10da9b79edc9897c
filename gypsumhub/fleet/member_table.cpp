#include "gypsumhub/fleet/member_table.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    auto keyOf(const member& entry) -> node_key
    {
        return entry.node.key;
    }

    // A larger increase of the incarnation means a new process: each refutation adds one, but a new process starts with its start
    // time in nanoseconds.
    constexpr auto refutationRange = uint64_t { 1'000'000 };

} // namespace

auto member_table::setNodes(std::span<const registered_node> nodes) -> void
{
    auto next = std::vector<member> {};
    next.reserve(nodes.size());
    for (auto& node : nodes) {
        auto* known = find(node.key);
        next.push_back(known ? *known : member {});
        next.back().node = node;
    }
    std::ranges::sort(next, {}, keyOf);
    m_members = std::move(next);
}

auto member_table::find(node_key key) const -> const member*
{
    auto found = std::ranges::lower_bound(m_members, key, {}, keyOf);
    return found != m_members.end() && found->node.key == key ? &*found : nullptr;
}

auto member_table::find(node_key key) -> member*
{
    return const_cast<member*>(static_cast<const member_table*>(this)->find(key));
}

auto member_table::merge(const member_claim& claim) -> member_merge_result
{
    auto* known = find(claim.node);
    if (!known)
        return member_merge_result::Ignored;
    auto older = claim.incarnation < known->incarnation || (claim.incarnation == known->incarnation && claim.state < known->state);
    if (older)
        return member_merge_result::Outdated;
    if (claim == known->claim())
        return member_merge_result::Ignored;
    auto replaced = known->incarnation != 0 && claim.incarnation > known->incarnation + refutationRange;
    known->incarnation = claim.incarnation;
    known->state = claim.state;
    return replaced ? member_merge_result::AdoptedReplacement : member_merge_result::Adopted;
}

auto member_table::hashOfUnavailable() const -> uint64_t
{
    auto hash = uint64_t { 0 };
    for (auto& entry : m_members) {
        // Addition makes the hash independent of order. Suspicions are excluded because they resolve by themselves.
        if (!entry.isAvailable())
            hash += mixHashes(entry.node.key.value, static_cast<uint64_t>(entry.state));
    }
    return hash;
}

} // namespace gypsumhub
