#include "gypsumhub/decision/selection/bucket_digests.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto digestsOf(int entries, uint64_t digest) -> bucket_digests
{
    auto digests = bucket_digests {};
    for (auto index = 0; index < entries; ++index)
        digests.add("i-" + std::to_string(index), digest);
    return digests;
}

} // namespace

TEST_CASE("two sets of a thousand entries that differ in three exchange at most three buckets")
{
    auto own = digestsOf(1000, 1), other = digestsOf(1000, 1);
    CHECK(own.differing(other).none());
    other.add("i-new-1", 7);
    other.add("i-new-2", 7);
    other.add("i-new-3", 7);
    auto buckets = own.differing(other);
    CHECK(buckets.any());
    CHECK(buckets.count() <= 3);
    CHECK(buckets[bucket_digests::bucketOf("i-new-1")]);
    CHECK(own.differing(digestsOf(1000, 2)).all());
}

TEST_CASE("an entry that changed differs, and the order of the entries does not matter")
{
    auto first = bucket_digests {}, second = bucket_digests {}, changed = bucket_digests {};
    first.add("a", 1);
    first.add("b", 2);
    second.add("b", 2);
    second.add("a", 1);
    changed.add("a", 1);
    changed.add("b", 3);
    CHECK(first.differing(second).none());
    CHECK(first.differing(changed)[bucket_digests::bucketOf("b")]);
}

TEST_CASE("digests and sets of buckets are read back from their text, and no other text is accepted")
{
    auto digests = digestsOf(500, 3);
    auto text = digests.toText();
    auto parsed = bucket_digests::parse(text);
    REQUIRE(parsed);
    CHECK(parsed->differing(digests).none());
    CHECK_FALSE(bucket_digests::parse(text.substr(1)));
    CHECK_FALSE(bucket_digests::parse("g" + text.substr(1)));
    CHECK_FALSE(bucket_digests::parse(""));
    auto buckets = digests.differing(digestsOf(3, 1));
    auto read = parseBuckets(formatBuckets(buckets));
    REQUIRE(read);
    CHECK((*read == buckets));
    CHECK_FALSE(parseBuckets("01"));
    CHECK_FALSE(parseBuckets(std::string(bucket_digests::bucketCount, '2')));
}
