#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/peer_message.h"
#include "gypsumhub/fleet/registered_node.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gypsumhub {

/// One registered node and its state in this node's view.
struct member {
    registered_node node;
    member_state state { member_state::Alive };
    uint64_t incarnation { 0 };
    /// When a suspected member becomes dead.
    time_point suspectedUntil { never };

    auto claim() const -> member_claim { return { node.key, incarnation, state }; }
    /// Whether it is expected to answer probes.
    auto isReachable() const -> bool { return state != member_state::Dead; }
    /// Whether requests may be assigned to it.
    auto isAvailable() const -> bool { return state == member_state::Alive || state == member_state::Suspected; }
};

/// Result of merging a claim.
enum class member_merge_result : uint8_t {
    /// The claim adds nothing, or its node is not registered.
    Ignored,
    /// The claim is older than the stored state.
    Outdated,
    Adopted,
    /// Adopted, and a new process has replaced the node's previous one.
    AdoptedReplacement,
};

/// The registered nodes and their states, in order of key.
class member_table {
public:
    /// Replaces the set of registered nodes and keeps the state of those that remain.
    auto setNodes(std::span<const registered_node>) -> void;

    auto find(node_key) -> member*;
    auto find(node_key) const -> const member*;
    auto members() const -> std::span<const member> { return m_members; }
    auto members() -> std::span<member> { return m_members; }

    /// Adopts the claim if it is newer: a higher incarnation wins, then the later state.
    auto merge(const member_claim&) -> member_merge_result;

    /// A random member that fulfils the predicate, or nothing.
    template <typename Predicate>
    auto pick(random_generator&, Predicate) const -> std::optional<node_key>;

    /// Hash over the stopping and dead nodes; equal on nodes whose views agree.
    auto hashOfUnavailable() const -> uint64_t;

private:
    std::vector<member> m_members;
};

template <typename Predicate>
auto member_table::pick(random_generator& random, Predicate predicate) const -> std::optional<node_key>
{
    if (m_members.empty())
        return std::nullopt;
    // The first match after a random start is not quite uniform, but needs no list of matches.
    auto start = random.below(m_members.size());
    for (auto step = std::size_t { 0 }; step < m_members.size(); ++step) {
        auto& entry = m_members[(start + step) % m_members.size()];
        if (predicate(entry))
            return entry.node.key;
    }
    return std::nullopt;
}

} // namespace gypsumhub
