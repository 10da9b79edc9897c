#pragma once

#include "gypsumhub/fleet/member_table.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// How many rings a node takes part in. A ring orders nodes by a hash; each node watches its next living successor, so that
/// every node has as many watchers as there are rings and the rings together form a random graph of small diameter.
struct ring_counts {
    uint32_t dataCentre { 4 };
    uint32_t region { 2 };
    /// Few, because about half of these contacts lie across the link between regions.
    uint32_t fleet { 1 };
};

/// The nodes that this node probes, gossips with and pushes news to.
class contact_rings {
public:
    /// Orders the rings anew. `self` must be among the members for the node to have contacts.
    auto rebuild(std::span<const member>, node_key self, const ring_counts&) -> void;

    /// Finds the next reachable successor on each ring; nearer rings first, without repetition.
    auto refresh(const member_table&) -> void;

    auto contacts() const -> std::span<const node_key> { return m_contacts; }

    /// Those of the contacts that lie in this node's region; all of them when none does.
    auto regionalContacts() const -> std::span<const node_key> { return std::span(m_contacts).first(m_regionalCount); }

private:
    /// Successors of this node on one ring, in order.
    using ring = std::vector<node_key>;

    std::vector<ring> m_rings;
    /// Those in other regions last.
    std::vector<node_key> m_contacts;
    std::size_t m_regionalCount { 0 };
    node_key m_self;
};

} // namespace gypsumhub
