#include "gypsumhub/config/config_revision.h"

#include "fakes/faults_of.h"
#include "fakes/sample_documents.h"
#include "fakes/sample_revisions.h"
#include "gypsumhub/config/revision_chain.h"
#include "gypsumhub/config/revision_codec.h"
#include "gypsumhub/core/random_generator.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    auto manyCallers(size_t count) -> std::vector<entry_change>
    {
        auto changes = std::vector<entry_change> {};
        for (auto index = size_t { 0 }; index < count; ++index)
            changes.push_back(callerChange("customer-" + std::to_string(100'000 + index), 10));
        return changes;
    }

    auto isEqual(const configuration& a, const configuration& b) -> bool
    {
        auto haveEqualServices = std::ranges::equal(a.services, b.services, [](auto& x, auto& y) { return *x.second == *y.second; });
        return haveEqualServices && a.dataCentres == b.dataCentres && a.nodes == b.nodes && a.routes == b.routes && a.callers == b.callers;
    }

} // namespace

TEST_CASE("a change of one entry rewrites one chunk and produces one small record")
{
    auto parent = makeRevision(nullptr, manyCallers(40'000), sampleOrigin("import")).value();
    REQUIRE(parent->chunks.size() >= 16);
    CHECK_FALSE(parent->recent.back()->delta.has_value());
    auto child = withCaller(parent, "customer-100007", 99);
    auto shared = size_t { 0 };
    for (auto index = size_t { 0 }; index < child->chunks.size(); ++index)
        shared += child->chunks[index] == parent->chunks[index];
    CHECK(shared == parent->chunks.size() - 1);
    CHECK(child->recent.back()->bytes.size() < 1024);
    CHECK(child->find("register/caller customer-100007").value() == "requests_per_second = 99\n");
}

TEST_CASE("all chunks and the manifest stay far below the store's limit on values")
{
    auto parent = makeRevision(nullptr, manyCallers(40'000), sampleOrigin("import")).value();
    for (auto& chunk : parent->chunks)
        CHECK(chunk->size() < 512 * 1024);
    CHECK(encodeManifest(parent->manifest).size() < 512 * 1024);
}

TEST_CASE("applying a record on another node gives the same revision")
{
    auto parent = sampleRevision();
    auto child = withCaller(parent, "agency-2", 7);
    auto applied = applyRecord(parent, decodeRecord(child->recent.back()->bytes).value()).value();
    CHECK(applied->id == child->id);
    CHECK(*applied->chunks.front() == *child->chunks.front());
}

TEST_CASE("an incremental update gives the same configuration as a full build, over seeded random changes")
{
    constexpr auto rounds = 300;
    auto random = random_generator(7);
    auto revision = sampleRevision();
    auto config = buildConfiguration(*revision).value();
    for (auto round = 0; round < rounds; ++round) {
        auto number = std::to_string(random.below(12));
        auto kind = random.below(4);
        auto isRemoval = random.below(3) == 0;
        auto change = callerChange("c" + number, static_cast<uint32_t>(1 + random.below(9)));
        if (kind == 1)
            change = { "register/vm v" + number, "address = 127.5.0." + number + ":1\ndata_centre = ahd-a\nservice = " + (random.below(2) ? "bookdesk\n" : "feeledger\n") };
        if (kind == 2)
            change = { "register/route /r" + number, "service = bookdesk\n" };
        if (kind == 3)
            change = { "rules/service bookdesk", "floor = " + number + "%\n" };
        if (isRemoval)
            change.body.reset();
        auto changes = std::vector { change };
        auto before = revision;
        revision = makeRevision(revision, changes, sampleOrigin(std::to_string(round))).value();
        auto advanced = advanceConfiguration({ before, config }, revision).value().config;
        config = updateConfiguration(config, revision->id, changes).value();
        REQUIRE(isEqual(*advanced, *config));
        REQUIRE(isEqual(*config, *buildConfiguration(*revision).value()));
        REQUIRE(config->revision == revision->id);
    }
}

TEST_CASE("verifying the chain detects a store that was restored and then changed; comparing revision numbers does not")
{
    auto first = sampleRevision();
    auto current = withCaller(withCaller(first, "a", 1), "b", 1);
    // The store is restored to the first revision, and further changes reach a higher number than the current revision.
    auto other = withCaller(withCaller(withCaller(first, "c", 1), "d", 1), "e", 1);
    REQUIRE(other->id.number > current->id.number);
    auto chain = std::vector<revision_record> {};
    for (auto& record : other->recent) {
        if (record->id.number > current->id.number)
            chain.push_back(*record);
    }
    CHECK((codeOf([&] { return verifyChain(current->id, chain); }) == result_code::ConfigurationForked));
    // A check of the number alone accepts it, and caller "a" would be lost.
    auto numberAlone = [](const revision_id& verified, const revision_id& head) { return head.number > verified.number; };
    CHECK(numberAlone(current->id, other->id));
    CHECK_FALSE(other->find("register/caller a").value().has_value());
}

TEST_CASE("older, forked and missing history fail with different codes")
{
    auto first = sampleRevision();
    auto second = withCaller(first, "a", 1);
    auto third = withCaller(second, "b", 1);
    auto otherSecond = withCaller(first, "c", 1);
    CHECK(static_cast<bool>(verifyChild(first->id, *second->recent.back())));
    CHECK((codeOf([&] { return verifyChild(third->id, *second->recent.back()); }) == result_code::ConfigurationRolledBack));
    CHECK((codeOf([&] { return verifyChild(second->id, *otherSecond->recent.back()); }) == result_code::ConfigurationForked));
    CHECK((codeOf([&] { return verifyChild(otherSecond->id, *third->recent.back()); }) == result_code::ConfigurationForked));
    CHECK((codeOf([&] { return verifyChild(first->id, *third->recent.back()); }) == result_code::ConfigurationChunkMissing));
    CHECK((codeOf([&] { return applyRecord(otherSecond, *third->recent.back()); }) == result_code::ConfigurationForked));
}

TEST_CASE("a change of any byte of a record is detected")
{
    auto child = withCaller(sampleRevision(), "agency-2", 7);
    auto& bytes = child->recent.back()->bytes;
    auto unnoticed = 0;
    for (auto position = size_t { 0 }; position < bytes.size(); ++position) {
        auto changed = bytes;
        changed[position] = static_cast<char>(changed[position] ^ 1);
        auto record = decodeRecord(changed);
        unnoticed += record && record->id == child->id;
    }
    CHECK(unnoticed == 0);
}

TEST_CASE("decoders refuse bytes that are not a chunk, manifest or record")
{
    for (auto bytes : { "", "{}", "[1]", "[\"a\"]", "[\"b\",\"\",\"a\",\"\"]", "nonsense" }) {
        CHECK((codeOf([&] { return decodeChunk(bytes); }) == result_code::ConfigurationInvalid));
        CHECK((codeOf([&] { return decodeManifest(bytes); }) == result_code::ConfigurationInvalid));
        CHECK((codeOf([&] { return decodeRecord(bytes); }) == result_code::ConfigurationInvalid));
    }
}

} // namespace gypsumhub
