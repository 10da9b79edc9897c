#include "gypsumhub/fleet/verified_configuration.h"

#include "fakes/faults_of.h"
#include "fakes/sample_revisions.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    auto ignore(std::shared_ptr<const configuration>) -> void { }

    // Transfers the parts from the revision of `receiver` to that of `sender`.
    auto transfer(const verified_configuration& sender, verified_configuration& receiver) -> leaf::result<revision_id>
    {
        auto parts = sender.partsTo(sender.current(), receiver.current());
        auto sink = receiver.beginUpdate(parts->revision());
        for (auto index = uint32_t { 0 }; index < parts->count(); ++index)
            BOOST_LEAF_CHECK(sink->put(index, parts->count(), parts->part(index)));
        return sink->finish();
    }

} // namespace

TEST_CASE("a whole configuration and then changes are transferred between nodes and built")
{
    auto first = sampleRevision();
    auto source = verified_configuration(ignore);
    auto seen = std::vector<uint64_t> {};
    auto target = verified_configuration([&](auto config) { seen.push_back(config->revision.number); });
    CHECK(source.partsTo({}, {}) == nullptr);
    REQUIRE(source.adopt(first, {}).value());
    CHECK(transfer(source, target).value() == first->id);
    REQUIRE(source.adopt(withCaller(first, "a", 5), first->id).value());
    CHECK(source.partsTo(source.current(), first->id)->count() == 1);
    CHECK(transfer(source, target).value() == source.current());
    CHECK(target.config()->callers.find("a")->second.requestsPerSecond == 5);
    CHECK(seen == std::vector<uint64_t> { 1, 2 });
}

TEST_CASE("neither the store nor peers move a node to an earlier revision or a forked history")
{
    auto first = sampleRevision();
    auto second = withCaller(first, "a", 1);
    auto third = withCaller(second, "b", 1);
    auto node = verified_configuration(ignore);
    REQUIRE(node.adopt(second, {}).value());
    // Older or equal: nothing happens.
    CHECK_FALSE(node.adopt(first, {}).value());
    CHECK_FALSE(node.adopt(second, {}).value());
    // Verified against the first revision, while the second came into force from a peer: its history contains the second.
    CHECK(node.adopt(third, first->id).value());
    // A fork, verified against an older revision.
    auto otherFourth = withCaller(withCaller(withCaller(first, "c", 1), "d", 1), "e", 1);
    CHECK((codeOf([&] { return node.adopt(otherFourth, first->id); }) == result_code::ConfigurationForked));

    auto forked = verified_configuration(ignore);
    REQUIRE(forked.adopt(otherFourth, {}).value());
    CHECK((codeOf([&] { return transfer(forked, node); }) == result_code::ConfigurationForked));
    CHECK(node.current() == third->id);
}

TEST_CASE("a transfer is not put in force when another revision came into force from the store meanwhile")
{
    auto first = sampleRevision();
    auto second = withCaller(first, "a", 1);
    auto source = verified_configuration(ignore);
    REQUIRE(source.adopt(second, {}).value());
    auto node = verified_configuration(ignore);
    REQUIRE(node.adopt(first, {}).value());
    auto parts = source.partsTo(second->id, first->id);
    auto sink = node.beginUpdate(second->id);
    REQUIRE(sink->put(0, 1, parts->part(0)));
    REQUIRE(node.adopt(second, first->id).value());
    CHECK((codeOf([&] { return sink->finish(); }) == result_code::ConfigurationChunkMissing));
}

} // namespace gypsumhub
