#include "gypsumhub/decision/request/claim_coordinator.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    constexpr auto now = time_point {} + minutes(10);

    auto query(std::string key, uint32_t attempt = 1) -> claim_query
    {
        return { { 1 }, std::move(key), 7, attempt, now + seconds(5) };
    }

    auto answered(uint64_t requestId, const claim_query& asked, std::string body) -> claim_record_message
    {
        return { requestId, asked, claim_end::Answered, kept_answer { 200, {}, std::move(body) }, never };
    }

    auto makeTable(claim_table::settings limits) -> claim_table
    {
        return claim_table(limits, std::make_shared<claim_policy>());
    }

} // namespace

TEST_CASE("a resend gets the kept answer, and another request under the same key is refused")
{
    auto table = makeTable({});
    CHECK((table.vote(1, query("a"), false, now).decision == claim_decision::Dispatch));
    CHECK((table.vote(2, query("a", 2), false, now).code == result_code::IdempotencyKeyInFlight));
    table.record(answered(1, query("a"), "done"), now);
    auto resend = table.vote(3, query("a", 2), false, now);
    REQUIRE((resend.decision == claim_decision::Replay));
    CHECK(resend.answer->body == "done");
    auto other = query("a", 2);
    other.requestDigest = 8;
    CHECK((table.vote(4, other, false, now).code == result_code::IdempotencyKeyReused));
}

TEST_CASE("a claim whose end is not reported by its deadline has an unknown outcome")
{
    auto table = makeTable({});
    table.vote(1, query("a"), false, now);
    CHECK((table.vote(2, query("a", 2), false, now + seconds(6)).code == result_code::IdempotencyOutcomeUnknown));
}

TEST_CASE("a delayed copy of a released claim does not hold the key again")
{
    auto table = makeTable({});
    table.vote(1, query("a"), false, now);
    table.record({ 1, query("a"), claim_end::NotRun, std::nullopt, never }, now);
    CHECK((table.vote(1, query("a"), false, now).decision == claim_decision::Refuse));
    CHECK((table.vote(2, query("a", 2), false, now).decision == claim_decision::Dispatch));
}

TEST_CASE("a full table refuses new keys and keeps old ones until they expire")
{
    auto table = makeTable({ .maxEntries = 2 });
    table.vote(1, query("a"), false, now);
    table.vote(2, query("b"), false, now);
    CHECK((table.vote(3, query("c"), false, now).code == result_code::IdempotencyTableFull));
    CHECK((table.vote(4, query("a", 2), false, now).code == result_code::IdempotencyKeyInFlight));
    table.expire(now + seconds(124));
    CHECK(table.size() == 2);
    table.expire(now + seconds(125));
    CHECK(table.size() == 0);
}

TEST_CASE("kept answers are bounded in bytes; a key whose answer was evicted has an unknown outcome")
{
    auto table = makeTable({ .maxAnswerBytes = 100 });
    for (auto id = uint64_t { 1 }; id <= 3; ++id) {
        auto key = std::to_string(id);
        table.vote(id, query(key), false, now);
        table.record(answered(id, query(key), std::string(40, 'x')), now);
    }
    CHECK(table.answerBytes() == 80);
    CHECK((table.vote(9, query("1", 2), false, now).code == result_code::IdempotencyOutcomeUnknown));
    CHECK((table.vote(9, query("3", 2), false, now).decision == claim_decision::Replay));
    table.expire(now + minutes(3));
    CHECK(table.answerBytes() == 0);
}

TEST_CASE("a new voter accepts first attempts, and refuses attempts without a number and resends")
{
    auto table = makeTable({});
    CHECK((table.vote(1, query("a", 0), false, now).code == result_code::IdempotencyOwnerUnreachable));
    CHECK((table.vote(1, query("a", 0), true, now).decision == claim_decision::Dispatch));
    CHECK((table.vote(2, query("b", 1), false, now).decision == claim_decision::Dispatch));
    CHECK((table.vote(3, query("c", 2), true, now).code == result_code::IdempotencyOutcomeUnknown));
}

TEST_CASE("the voters of a key are in different data centres and in both regions")
{
    auto config = configuration {};
    for (auto name : { "ahd-a", "ahd-b", "srt-a", "srt-b" })
        config.dataCentres[name] = { name, std::string(name).substr(0, 3) };
    for (auto node = uint64_t { 0 }; node < 40; ++node) {
        auto name = "n" + std::to_string(node);
        auto dataCentre = std::array { "ahd-a", "ahd-b", "srt-a", "srt-b" }[node % 4];
        config.nodes[name] = { .name = name, .key = { node }, .dataCentre = dataCentre };
    }
    auto voters = claim_voters(config);
    for (auto key = 0; key < 100; ++key) {
        auto chosen = voters.choose({ { 1 }, std::to_string(key) });
        REQUIRE(chosen.size() == 3);
        // Nodes 0 and 1 modulo 4 are in one region, 2 and 3 in the other.
        CHECK(chosen[0].value % 4 != chosen[1].value % 4);
        CHECK(chosen[0].value % 4 / 2 == chosen[1].value % 4 / 2);
        CHECK(chosen[2].value % 4 / 2 != chosen[0].value % 4 / 2);
    }
}

TEST_CASE("a single node is its only voter and decides at once")
{
    auto config = configuration {};
    config.nodes["n"] = { .name = "n", .key = { 1 }, .dataCentre = "d" };
    auto node = claim_coordinator({ .self = { 1 } }, now);
    auto commands = claim_command_list {};
    node.configure(claim_voters(config), now, commands);
    auto requestId = node.claim(query("a"), now, commands);
    REQUIRE(commands.size() == 1);
    auto& decided = std::get<claim_decided_command>(commands.front());
    CHECK(decided.requestId == requestId);
    CHECK((decided.verdict.decision == claim_decision::Dispatch));
}

} // namespace gypsumhub
