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

/// What this node believes of one registered node.
struct member {
    registered_node node;
    member_state state { member_state::Alive };
    uint64_t incarnation { 0 };
    /// When a suspected member counts as dead.
    time_point suspectedUntil { never };

    auto claim() const -> member_claim { return { node.key, incarnation, state }; }
    /// Whether it can be expected to answer.
    auto isReachable() const -> bool { return state != member_state::Dead; }
    /// Whether work may be given to it.
    auto isAvailable() const -> bool { return state == member_state::Alive || state == member_state::Suspected; }
};

/// What became of a claim.
enum class merge_result : uint8_t {
    /// Nothing new, or about a node that is not registered.
    Ignored,
    /// The claim is older than what is known.
    Outdated,
    Adopted,
    /// Adopted, and the node's process is another one than before.
    AdoptedReplacement,
};

/// The registered nodes with what is believed of them, in order of key.
class member_table {
public:
    /// Takes a new register and keeps what is known of nodes that stay.
    auto setNodes(std::span<const registered_node>) -> void;

    auto find(node_key) -> member*;
    auto find(node_key) const -> const member*;
    auto members() const -> std::span<const member> { return m_members; }
    auto members() -> std::span<member> { return m_members; }

    /// Adopts the claim if it is newer: a higher incarnation wins, then the later state.
    auto merge(const member_claim&) -> merge_result;

    /// A member that fulfils the predicate, or nothing.
    template <typename Predicate>
    auto pick(random_generator&, Predicate) const -> std::optional<node_key>;

    /// Hash over the nodes that are not alive; equal on nodes that agree.
    auto hashOfUnavailable() const -> uint64_t;

private:
    std::vector<member> m_members;
};

template <typename Predicate>
auto member_table::pick(random_generator& random, Predicate predicate) const -> std::optional<node_key>
{
    if (m_members.empty())
        return std::nullopt;
    // The first match after a random start: fair enough, and no list of matches is built.
    auto start = random.below(m_members.size());
    for (auto step = std::size_t { 0 }; step < m_members.size(); ++step) {
        auto& entry = m_members[(start + step) % m_members.size()];
        if (predicate(entry))
            return entry.node.key;
    }
    return std::nullopt;
}

} // namespace gypsumhub
