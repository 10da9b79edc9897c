#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/decision/request/claim_table.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace gypsumhub {

/// Tells which nodes vote on an idempotency key. The voters follow from the register alone, not from who is believed alive,
/// so that all nodes with the same configuration agree on them in any partition.
class claim_voters {
public:
    /// Voters of one key, fewer when fewer nodes are registered.
    static constexpr auto voterCount = size_t { 3 };

    /// No node is registered.
    claim_voters() = default;

    /// The registered nodes of a configuration.
    explicit claim_voters(const configuration&);

    /// The voters of a key by rendezvous hashing: two in different data centres of one region and one in another region, as
    /// far as there are such nodes.
    auto choose(const claim_key&) const -> std::vector<node_key>;

    auto operator==(const claim_voters& other) const -> bool { return *m_candidates == *other.m_candidates; }

private:
    struct candidate {
        node_key node;
        // Hashes of the names.
        uint64_t dataCentre { 0 };
        uint64_t region { 0 };

        auto operator==(const candidate&) const -> bool = default;
    };

    // Shared between copies, never changed.
    std::shared_ptr<const std::vector<candidate>> m_candidates { std::make_shared<std::vector<candidate>>() };
};

} // namespace gypsumhub
