#include "gypsumhub/config/revision_transfer.h"

#include "fakes/faults_of.h"
#include "fakes/sample_revisions.h"
#include "gypsumhub/core/random_generator.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    using revision_pointer = std::shared_ptr<const config_revision>;

    auto transfer(const revision_pointer& source, const revision_id& base, const revision_pointer& current) -> leaf::result<revision_update>
    {
        auto parts = revision_parts(source, base);
        auto assembler = revision_assembler(current, source->id);
        // Parts are added in reverse order, since the order must not matter.
        for (auto index = parts.count(); index-- > 0;)
            BOOST_LEAF_CHECK(assembler.put(index, parts.count(), parts.part(index)));
        REQUIRE_FALSE(assembler.firstMissing().has_value());
        return assembler.finish();
    }

} // namespace

TEST_CASE("a node with an older revision receives only the changes")
{
    auto first = sampleRevision();
    auto third = withCaller(withCaller(first, "a", 1), "b", 1);
    auto parts = revision_parts(third, first->id);
    CHECK_FALSE(parts.isWhole());
    CHECK(parts.count() == 2);
    auto update = transfer(third, first->id, first).value();
    CHECK(update.revision->id == third->id);
    CHECK(update.changes.size() == 2);
}

TEST_CASE("a new node receives the whole content, and a node with another history refuses it")
{
    auto first = sampleRevision();
    auto third = withCaller(withCaller(first, "a", 1), "b", 1);
    auto parts = revision_parts(third, {});
    CHECK(parts.isWhole());
    auto update = transfer(third, {}, nullptr).value();
    CHECK(update.revision->id == third->id);
    CHECK(update.revision->entries().value() == third->entries().value());

    auto other = withCaller(withCaller(first, "c", 1), "d", 1);
    CHECK((codeOf([&] { return transfer(third, other->id, other); }) == result_code::ConfigurationForked));
    auto ahead = withCaller(third, "e", 1);
    CHECK((codeOf([&] { return transfer(third, ahead->id, ahead); }) == result_code::ConfigurationRolledBack));
}

TEST_CASE("a node receives the whole content and the records when a delta is too large for its record")
{
    auto first = sampleRevision();
    auto big = std::vector<entry_change> {};
    for (auto index = 1000; index < 3000; ++index)
        big.push_back(callerChange("customer-" + std::to_string(index), 1));
    auto second = makeRevision(first, big, sampleOrigin("big")).value();
    auto parts = revision_parts(second, first->id);
    CHECK(parts.isWhole());
    auto update = transfer(second, first->id, first).value();
    CHECK(update.revision->id == second->id);
    CHECK(update.changes.size() == big.size());
}

TEST_CASE("a part that is altered in transit never yields a revision")
{
    auto random = random_generator(11);
    auto first = sampleRevision();
    auto second = withCaller(first, "a", 1);
    auto accepted = 0;
    for (auto round = 0; round < 500; ++round) {
        auto isWhole = random.below(2) == 0;
        auto parts = revision_parts(second, isWhole ? revision_id {} : first->id);
        auto broken = random.below(parts.count());
        auto outcome = faultsOf([&]() -> leaf::result<revision_update> {
            auto assembler = revision_assembler(isWhole ? nullptr : first, second->id);
            for (auto index = uint32_t { 0 }; index < parts.count(); ++index) {
                auto bytes = parts.part(index);
                if (index == broken)
                    bytes[random.below(bytes.size())] ^= static_cast<char>(1 + random.below(255));
                BOOST_LEAF_CHECK(assembler.put(index, parts.count(), bytes));
            }
            return assembler.finish();
        });
        accepted += outcome.faults.empty();
    }
    CHECK(accepted == 0);
}

TEST_CASE("inconsistent parts are refused")
{
    auto assembler = revision_assembler(nullptr, {});
    CHECK((codeOf([&] { return assembler.put(0, 0, "R"); }) == result_code::ConfigurationInvalid));
    CHECK((codeOf([&] { return assembler.put(3, 3, "R"); }) == result_code::ConfigurationInvalid));
    CHECK((codeOf([&] { return assembler.put(0, 100'000'000, "R"); }) == result_code::ConfigurationInvalid));
    CHECK(static_cast<bool>(assembler.put(0, 2, "R")));
    CHECK((codeOf([&] { return assembler.put(1, 3, "R"); }) == result_code::ConfigurationInvalid));
    CHECK((codeOf([&] { return assembler.put(1, 2, ""); }) == result_code::ConfigurationInvalid));
    CHECK(assembler.firstMissing() == 1);
}

} // namespace gypsumhub
