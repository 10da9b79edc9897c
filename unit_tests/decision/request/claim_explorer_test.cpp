#include "claim_model.h"

#include <doctest/doctest.h>
#include <unordered_set>

namespace gypsumhub {

namespace {

    /// Mutation: one vote is a quorum, so no second record is needed.
    class one_vote_policy final : public claim_policy {
    public:
        auto quorumSize(size_t) const -> size_t override { return 1; }
    };

    /// Mutation: a voter votes without proof that the earlier attempt did not run.
    class no_proof_policy final : public claim_policy {
    public:
        auto mayVote(uint32_t, const claim_history&) const -> bool override { return true; }
    };

} // namespace

auto explore(const exploration_limits& limits) -> exploration_result
{
    auto result = exploration_result {};
    auto seen = std::unordered_set<uint64_t> {};
    auto open = std::vector<claim_model> { claim_model(limits) };
    seen.insert(open.back().fingerprint());
    while (!open.empty() && result.violation.empty()) {
        auto current = std::move(open.back());
        open.pop_back();
        ++result.states;
        result.violation = current.violation();
        result.firstRan += current.requests()[0].ran;
        result.secondRan += current.requests()[1].ran;
        result.replayed += std::ranges::any_of(current.requests(), &caller_request::receivedAnswer);
        current.forEachNext([&](claim_model&& next) {
            if (seen.insert(next.fingerprint()).second)
                open.push_back(std::move(next));
        });
    }
    return result;
}

namespace {

    auto checkHolds(const exploration_limits& limits) -> void
    {
        auto result = explore(limits);
        INFO("states " << result.states);
        CHECK(result.violation == "");
        // The exploration must reach each of these outcomes.
        CHECK(result.firstRan > 0);
        CHECK(result.secondRan > 0);
        CHECK(result.replayed > 0);
        MESSAGE("states " << result.states << ", first ran in " << result.firstRan << ", second ran in " << result.secondRan);
    }

} // namespace

TEST_CASE("at most once: numbered attempts, a crash")
{
    checkHolds({ .numbered = true, .crashes = 1 });
}

TEST_CASE("at most once: numbered attempts, a lost and a duplicated message")
{
    checkHolds({ .numbered = true, .losses = 1, .duplicates = 1 });
}

TEST_CASE("at most once: attempts without numbers, a crash")
{
    checkHolds({ .numbered = false, .crashes = 1 });
}

TEST_CASE("at most once: attempts without numbers, a register change of one voter at a different time on each node")
{
    checkHolds({ .numbered = false, .registerChanges = true, .timePasses = false });
}

TEST_CASE("the model check detects a claim that is dispatched with only one vote")
{
    auto result = explore({ .numbered = false, .policy = std::make_shared<one_vote_policy>() });
    CHECK(result.violation == "ran twice");
}

TEST_CASE("the model check detects a second attempt that is dispatched without proof")
{
    auto result = explore({ .numbered = true, .crashes = 1, .policy = std::make_shared<no_proof_policy>() });
    CHECK(result.violation != "");
}

} // namespace gypsumhub
