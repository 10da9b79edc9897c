#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/decision/request/claim_table.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace gypsumhub {

/// Chooses the nodes that vote on an idempotency key. The voters depend on the register alone and not on the membership, so that
/// all nodes with the same configuration compute the same voters in any network partition.
class claim_voters {
public:
    /// Voters of one key, fewer when fewer nodes are registered.
    static constexpr auto voterCount = size_t { 3 };

    /// Creates an instance without registered nodes.
    claim_voters() = default;

    /// Creates an instance with the registered nodes of a configuration.
    explicit claim_voters(const configuration&);

    /// The voters of a key by rendezvous hashing: two in different data centres of one region and one in another region, if
    /// there are such nodes.
    auto choose(const claim_key&) const -> std::vector<node_key>;

    auto operator==(const claim_voters& other) const -> bool { return *m_candidates == *other.m_candidates; }

private:
    /// A registered node.
    struct candidate {
        node_key node;
        // Hashes of the names of data centre and region.
        uint64_t dataCentre { 0 };
        uint64_t region { 0 };

        auto operator==(const candidate&) const -> bool = default;
    };

    // Shared between copies; immutable.
    std::shared_ptr<const std::vector<candidate>> m_candidates { std::make_shared<std::vector<candidate>>() };
};

} // namespace gypsumhub
