#include "gypsumhub/decision/selection/allowance_choice.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <tuple>

namespace gypsumhub::allowance_choice {

namespace {

    // Distinguishes the ranks of buckets from those of targets with small hashes.
    constexpr auto bucketSeed = uint64_t { 0x6275636b65740000 };

    auto rankOf(uint32_t bucket, std::string_view name) -> uint64_t
    {
        return mixHashes(bucketSeed + bucket, hashName(name));
    }

} // namespace

auto bucketOf(std::string_view customer) -> uint32_t
{
    return static_cast<uint32_t>(hashName(customer) % bucketCount);
}

auto fleetDataCentre(std::span<const std::string> dataCentres, uint32_t bucket) -> std::string
{
    auto first = std::ranges::min_element(dataCentres, {}, [&](auto& name) { return std::pair(rankOf(bucket, name), std::string_view(name)); });
    return first == dataCentres.end() ? std::string {} : *first;
}

auto distributors(std::span<const allowance_node> nodes, uint32_t bucket) -> std::vector<std::string>
{
    auto ranked = std::vector<std::tuple<bool, uint64_t, std::string_view>> {};
    for (auto& node : nodes)
        ranked.emplace_back(!node.isLarge, rankOf(bucket, node.name), node.name);
    auto count = std::min(ranked.size(), maxCandidates);
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count));
    auto names = std::vector<std::string> {};
    for (auto& [isSmall, rank, name] : std::span(ranked).first(count))
        names.emplace_back(name);
    return names;
}

auto mayLease(duration confirmationAge, size_t heard, size_t registered) -> bool
{
    return confirmationAge <= maxConfirmationAge || heard * 2 > registered;
}

} // namespace gypsumhub::allowance_choice
