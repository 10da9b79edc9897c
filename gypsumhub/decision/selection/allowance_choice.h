#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// An available node, as far as the choice of distributors depends on it.
struct allowance_node {
    std::string_view name;
    /// Has the size of the directory settings alone.
    bool isLarge { false };
};

/// Which nodes distribute the limits of customers. All functions give the same result on every node with the same view.
namespace allowance_choice {

    constexpr auto bucketCount = uint32_t { 4 };
    constexpr auto maxCandidates = size_t { 3 };

    /// The bucket of a customer, which one distributor in each data centre serves.
    auto bucketOf(std::string_view customer) -> uint32_t;
    /// The data centre whose distributor is the fleet's, by rendezvous hashing. Empty without data centres.
    auto fleetDataCentre(std::span<const std::string> dataCentres, uint32_t bucket) -> std::string;
    /// The nodes of one data centre that distribute a bucket, in this order by rendezvous hashing; large nodes come first. The first one
    /// does so, the others when it does not answer. At most `maxCandidates`.
    auto distributors(std::span<const allowance_node>, uint32_t bucket) -> std::vector<std::string>;

    /// Whether a distributor of the fleet may lease: its configuration was confirmed lately, or it hears most nodes of its data centre. Of
    /// two parts of a data centre that are cut off from each other, a node alone in one of them must not. `heard` includes the node itself.
    auto mayLease(duration confirmationAge, size_t heard, size_t registered) -> bool;

    /// Of the confirmation of the configuration of a distributor of the fleet that is in a minority.
    constexpr auto maxConfirmationAge = milliseconds(2000);

} // namespace allowance_choice

} // namespace gypsumhub
