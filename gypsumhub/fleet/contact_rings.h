#pragma once

#include "gypsumhub/fleet/member_table.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// Number of rings by scope. A ring orders nodes by a hash, and each node probes its next reachable successor on it. Every node
/// is thus probed by about as many nodes as there are rings, and the rings together form a random graph of small diameter.
struct ring_counts {
    uint32_t dataCentre { 4 };
    uint32_t region { 2 };
    /// Few, because about half of these contacts are in another region.
    uint32_t fleet { 1 };
};

/// The contacts of this node: the nodes that it probes, gossips with and pushes digests to.
class contact_rings {
public:
    /// Recomputes the rings. Without `self` among the members there are no contacts.
    auto rebuild(std::span<const member>, node_key self, const ring_counts&) -> void;

    /// Recomputes the contacts: the next reachable successor on each ring that is not yet a contact, nearer rings first.
    auto refresh(const member_table&) -> void;

    auto contacts() const -> std::span<const node_key> { return m_contacts; }

    /// The contacts in this node's region; all contacts when there are none in it.
    auto regionalContacts() const -> std::span<const node_key> { return std::span(m_contacts).first(m_regionalCount); }

private:
    /// Successors of this node on one ring, in order.
    using ring = std::vector<node_key>;

    std::vector<ring> m_rings;
    /// Contacts in other regions are last.
    std::vector<node_key> m_contacts;
    std::size_t m_regionalCount { 0 };
    node_key m_self;
};

} // namespace gypsumhub
