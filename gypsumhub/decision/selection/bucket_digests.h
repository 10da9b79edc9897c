#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Digests of a set of entries, each of them in one of a fixed number of buckets by its key (anti-entropy).
///
/// Answers the load after datagrams were lost in a large fleet: two nodes whose sets differ in a few entries exchange the buckets of
/// those entries instead of all of them, so that the cost of a difference grows with its size and not with the fleet.
class bucket_digests {
public:
    static constexpr auto bucketCount = size_t { 128 };
    using bucket_set = std::bitset<bucketCount>;

    static auto bucketOf(std::string_view key) -> size_t;

    /// Adds an entry. The order of the entries does not matter.
    auto add(std::string_view key, uint64_t digest) -> void;
    /// The buckets in which two sets differ.
    auto differing(const bucket_digests&) const -> bucket_set;

    /// Hexadecimal text of fixed length.
    auto toText() const -> std::string;
    /// Parses the result of `toText`, or returns nullopt for any other text.
    static auto parse(std::string_view) -> std::optional<bucket_digests>;

private:
    std::array<uint32_t, bucketCount> m_digests {};
};

/// Formats a set of buckets as text of '0' and '1'.
auto formatBuckets(const bucket_digests::bucket_set&) -> std::string;

/// Parses the result of `formatBuckets`, or returns nullopt for any other text.
auto parseBuckets(std::string_view) -> std::optional<bucket_digests::bucket_set>;

} // namespace gypsumhub
