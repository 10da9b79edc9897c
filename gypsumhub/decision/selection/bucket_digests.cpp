#include "gypsumhub/decision/selection/bucket_digests.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <charconv>

namespace gypsumhub {

namespace {

    constexpr auto digitsPerBucket = size_t { 8 };
    constexpr auto hexadecimal = 16;

} // namespace

auto bucket_digests::bucketOf(std::string_view key) -> size_t
{
    return hashName(key) % bucketCount;
}

auto bucket_digests::add(std::string_view key, uint64_t digest) -> void
{
    m_digests[bucketOf(key)] += static_cast<uint32_t>(mixHashes(hashName(key), digest));
}

auto bucket_digests::differing(const bucket_digests& other) const -> bucket_set
{
    auto buckets = bucket_set {};
    for (auto index = size_t { 0 }; index < bucketCount; ++index)
        buckets[index] = m_digests[index] != other.m_digests[index];
    return buckets;
}

auto bucket_digests::toText() const -> std::string
{
    auto text = std::string(bucketCount * digitsPerBucket, '0');
    for (auto index = size_t { 0 }; index < bucketCount; ++index) {
        auto digits = std::array<char, digitsPerBucket> {};
        auto* end = std::to_chars(digits.data(), digits.data() + digits.size(), m_digests[index], hexadecimal).ptr;
        std::copy_backward(digits.data(), end, text.data() + (index + 1) * digitsPerBucket);
    }
    return text;
}

auto bucket_digests::parse(std::string_view text) -> std::optional<bucket_digests>
{
    if (text.size() != bucketCount * digitsPerBucket)
        return std::nullopt;
    auto parsed = bucket_digests {};
    for (auto index = size_t { 0 }; index < bucketCount; ++index) {
        auto digits = text.substr(index * digitsPerBucket, digitsPerBucket);
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.m_digests[index], hexadecimal);
        if (error != std::errc {} || end != digits.data() + digits.size())
            return std::nullopt;
    }
    return parsed;
}

auto formatBuckets(const bucket_digests::bucket_set& buckets) -> std::string
{
    return buckets.to_string();
}

auto parseBuckets(std::string_view text) -> std::optional<bucket_digests::bucket_set>
{
    auto isValid = text.size() == bucket_digests::bucketCount && std::ranges::all_of(text, [](char digit) { return digit == '0' || digit == '1'; });
    return isValid ? std::optional(bucket_digests::bucket_set(std::string(text))) : std::nullopt;
}

} // namespace gypsumhub
