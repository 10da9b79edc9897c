#include "unit_tests/decision/core_bench.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    auto groupSettings(uint32_t floorPercent = 50) -> core_bench_settings
    {
        auto settings = core_bench_settings { .nodes = 3 };
        settings.rules.floorPercent = floorPercent;
        settings.rules.preference = ejection_preference::FewFalseEjections;
        return settings;
    }

    auto accusation(const core_bench& bench, int target, float nats, uint32_t failuresInRow, health_state state = health_state::Demoted) -> evidence
    {
        auto item = evidence { bench.service(), bench.target(target), state };
        item.errorScore = static_cast<int32_t>(nats * 1000);
        item.samples = 10;
        item.failuresInRow = failuresInRow;
        item.validUntil = bench.now + seconds(20);
        return item;
    }

    auto failTimes(core_bench& bench, int target, int times, attempt_result result) -> void
    {
        for (auto time = 0; time < times; ++time) {
            bench.advance(milliseconds(100));
            bench.attempt(target, result);
        }
    }

} // namespace

TEST_CASE("evidence of members adds up to a conviction that none of them reaches alone")
{
    auto bench = core_bench { groupSettings() };
    failTimes(bench, 2, 2, attempt_result::ErrorAnswer);
    CHECK(bench.isIn(2, health_state::Demoted));
    bench.handle(evidence_event { bench.node(1), { accusation(bench, 2, 6.6F, 1) } });
    CHECK(bench.isIn(2, health_state::Demoted));
    bench.handle(evidence_event { bench.node(2), { accusation(bench, 2, 6.6F, 1) } });
    CHECK(bench.isIn(2, health_state::Ejected));
}

TEST_CASE("evidence counts until its deadline, and not after its sender was lost")
{
    auto bench = core_bench { groupSettings() };
    bench.handle(evidence_event { bench.node(1), { accusation(bench, 2, 8, 1) } });
    CHECK(bench.isIn(2, health_state::Demoted));
    bench.handle(peer_lost_event { bench.node(1) });
    CHECK(bench.isIn(2, health_state::Healthy));
    bench.handle(evidence_event { bench.node(1), { accusation(bench, 2, 8, 1) } });
    bench.advance(seconds(21));
    CHECK(bench.isIn(2, health_state::Healthy));
    CHECK(bench.record(2).peerEvidence.empty());
}

TEST_CASE("nodes outside the group are not heard")
{
    auto bench = core_bench { groupSettings() };
    bench.handle(evidence_event { { 12345 }, { accusation(bench, 2, 25, 5) } });
    CHECK(bench.isIn(2, health_state::Healthy));
}

TEST_CASE("a VM that only this node hears nothing from is avoided, not ejected, once a peer tells of success")
{
    auto bench = core_bench { groupSettings() };
    failTimes(bench, 2, 2, attempt_result::ConnectFailed);
    bench.handle(evidence_event { bench.node(1), { accusation(bench, 2, -2, 0, health_state::Healthy) } });
    failTimes(bench, 2, 10, attempt_result::ConnectFailed);
    CHECK(bench.isIn(2, health_state::Demoted));
    CHECK(bench.record(2).pathSuspect);
    CHECK(bench.record(2).weight == 1);
    // What it tells the group from then on accuses nobody.
    CHECK(bench.sent.back().items.back().errorScore <= 0);
    CHECK(!bench.probes.empty());

    auto alone = core_bench { groupSettings() };
    failTimes(alone, 2, 12, attempt_result::ConnectFailed);
    CHECK(alone.isIn(2, health_state::Ejected));
}

TEST_CASE("wrong answers are no path fault: success elsewhere does not excuse them")
{
    auto bench = core_bench { groupSettings() };
    failTimes(bench, 2, 2, attempt_result::MismatchedAnswer);
    bench.handle(evidence_event { bench.node(1), { accusation(bench, 2, -2, 0, health_state::Healthy) } });
    failTimes(bench, 2, 6, attempt_result::MismatchedAnswer);
    CHECK(bench.isIn(2, health_state::Ejected));
}

TEST_CASE("a member with success answers an accusation, and does not follow a peer that sees nothing but failures")
{
    auto bench = core_bench { groupSettings() };
    for (auto success = 0; success < 12; ++success)
        bench.attempt(2, attempt_result::Success);
    bench.handle(evidence_event { bench.node(1), { accusation(bench, 2, 25, 9) } });
    CHECK(bench.isIn(2, health_state::Healthy));
    REQUIRE(bench.sent.size() == 1);
    CHECK(bench.sent[0].receivers == std::vector { bench.node(1) });
    CHECK(bench.sent[0].items[0].errorScore < -1000);
}

TEST_CASE("a member that ejected is followed by one with nothing to say against it")
{
    auto bench = core_bench { groupSettings() };
    bench.handle(evidence_event { bench.node(1), { accusation(bench, 2, 5, 3, health_state::Ejected) } });
    CHECK(bench.isIn(2, health_state::Ejected));
}

TEST_CASE("members' ejections together stay within the floor: the weaker claims are taken back")
{
    // Floor 75 % of 8: two may be out.
    auto bench = core_bench { groupSettings(75) };
    failTimes(bench, 0, 6, attempt_result::ErrorAnswer);
    REQUIRE(bench.isIn(0, health_state::Ejected));
    auto stronger = std::vector { accusation(bench, 1, 29, 9, health_state::Ejected), accusation(bench, 2, 29, 9, health_state::Ejected) };
    bench.handle(evidence_event { bench.node(1), stronger });
    CHECK(bench.isIn(0, health_state::Demoted));
    CHECK(bench.isIn(1, health_state::Ejected));
    CHECK(bench.isIn(2, health_state::Ejected));
    CHECK(bench.inRotation() == 6);
}

TEST_CASE("an ejection is told to the group at once and repeated before it expires")
{
    auto bench = core_bench { groupSettings() };
    failTimes(bench, 2, 8, attempt_result::ErrorAnswer);
    REQUIRE(bench.isIn(2, health_state::Ejected));
    CHECK((bench.sent.back().items[0].state == health_state::Ejected));
    auto before = bench.sent.size();
    bench.advance(seconds(60));
    auto repeated = bench.sent.size() - before;
    CHECK(repeated >= 4);
    CHECK(repeated <= 8);
}

} // namespace gypsumhub
