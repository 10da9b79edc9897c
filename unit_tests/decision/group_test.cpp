#include "unit_tests/decision/core_fixture.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    auto groupSettings(uint32_t floorPercent = 50) -> core_fixture_settings
    {
        auto settings = core_fixture_settings { .nodes = 3 };
        settings.rules.floorPercent = floorPercent;
        settings.rules.preference = ejection_preference::FewFalseEjections;
        return settings;
    }

    auto suspicion(const core_fixture& fixture, int target, float nats, uint32_t failuresInRow, health_state state = health_state::Demoted) -> evidence
    {
        auto item = evidence { fixture.service(), fixture.target(target), state };
        item.errorScore = static_cast<int32_t>(nats * 1000);
        item.samples = 10;
        item.failuresInRow = failuresInRow;
        item.validUntil = fixture.now + seconds(20);
        return item;
    }

    auto failTimes(core_fixture& fixture, int target, int times, attempt_result result) -> void
    {
        for (auto time = 0; time < times; ++time) {
            fixture.advance(milliseconds(100));
            fixture.attempt(target, result);
        }
    }

} // namespace

TEST_CASE("pooled evidence of members ejects a target that no member's own evidence would eject")
{
    auto fixture = core_fixture { groupSettings() };
    failTimes(fixture, 2, 2, attempt_result::ErrorAnswer);
    CHECK(fixture.isIn(2, health_state::Demoted));
    fixture.handle(evidence_event { fixture.node(1), { suspicion(fixture, 2, 6.6F, 1) } });
    CHECK(fixture.isIn(2, health_state::Demoted));
    fixture.handle(evidence_event { fixture.node(2), { suspicion(fixture, 2, 6.6F, 1) } });
    CHECK(fixture.isIn(2, health_state::Ejected));
}

TEST_CASE("evidence counts until it expires or its sender is lost")
{
    auto fixture = core_fixture { groupSettings() };
    fixture.handle(evidence_event { fixture.node(1), { suspicion(fixture, 2, 8, 1) } });
    CHECK(fixture.isIn(2, health_state::Demoted));
    fixture.handle(peer_lost_event { fixture.node(1) });
    CHECK(fixture.isIn(2, health_state::Healthy));
    fixture.handle(evidence_event { fixture.node(1), { suspicion(fixture, 2, 8, 1) } });
    fixture.advance(seconds(21));
    CHECK(fixture.isIn(2, health_state::Healthy));
    CHECK(fixture.record(2).peerEvidence.empty());
}

TEST_CASE("evidence from nodes outside the group is ignored")
{
    auto fixture = core_fixture { groupSettings() };
    fixture.handle(evidence_event { { 12345 }, { suspicion(fixture, 2, 25, 5) } });
    CHECK(fixture.isIn(2, health_state::Healthy));
}

TEST_CASE("a VM that only this node cannot reach is demoted and not ejected when a peer reports success")
{
    auto fixture = core_fixture { groupSettings() };
    failTimes(fixture, 2, 2, attempt_result::ConnectFailed);
    fixture.handle(evidence_event { fixture.node(1), { suspicion(fixture, 2, -2, 0, health_state::Healthy) } });
    failTimes(fixture, 2, 10, attempt_result::ConnectFailed);
    CHECK(fixture.isIn(2, health_state::Demoted));
    CHECK(fixture.record(2).pathSuspected);
    CHECK(fixture.record(2).weight == 1);
    // From then on, the node's own evidence contains no suspicion.
    CHECK(fixture.sent.back().items.back().errorScore <= 0);
    CHECK(!fixture.healthChecks.empty());

    auto withoutPeers = core_fixture { groupSettings() };
    failTimes(withoutPeers, 2, 12, attempt_result::ConnectFailed);
    CHECK(withoutPeers.isIn(2, health_state::Ejected));
}

TEST_CASE("mismatched answers are no path failure: a peer's success does not prevent the ejection")
{
    auto fixture = core_fixture { groupSettings() };
    failTimes(fixture, 2, 2, attempt_result::MismatchedAnswer);
    fixture.handle(evidence_event { fixture.node(1), { suspicion(fixture, 2, -2, 0, health_state::Healthy) } });
    failTimes(fixture, 2, 6, attempt_result::MismatchedAnswer);
    CHECK(fixture.isIn(2, health_state::Ejected));
}

TEST_CASE("a member with successes replies to a peer that reports only failures, and does not eject the target")
{
    auto fixture = core_fixture { groupSettings() };
    for (auto success = 0; success < 12; ++success)
        fixture.attempt(2, attempt_result::Success);
    fixture.handle(evidence_event { fixture.node(1), { suspicion(fixture, 2, 25, 9) } });
    CHECK(fixture.isIn(2, health_state::Healthy));
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent[0].receivers == std::vector { fixture.node(1) });
    CHECK(fixture.sent[0].items[0].errorScore < -1000);
}

TEST_CASE("a member without contradicting evidence ejects a target that another member has ejected")
{
    auto fixture = core_fixture { groupSettings() };
    fixture.handle(evidence_event { fixture.node(1), { suspicion(fixture, 2, 5, 3, health_state::Ejected) } });
    CHECK(fixture.isIn(2, health_state::Ejected));
}

TEST_CASE("the ejections of all members together respect the floor: the weaker ones are undone")
{
    // A floor of 75 % of 8 targets allows two ejections.
    auto fixture = core_fixture { groupSettings(75) };
    failTimes(fixture, 0, 6, attempt_result::ErrorAnswer);
    REQUIRE(fixture.isIn(0, health_state::Ejected));
    auto stronger = std::vector { suspicion(fixture, 1, 29, 9, health_state::Ejected), suspicion(fixture, 2, 29, 9, health_state::Ejected) };
    fixture.handle(evidence_event { fixture.node(1), stronger });
    CHECK(fixture.isIn(0, health_state::Demoted));
    CHECK(fixture.isIn(1, health_state::Ejected));
    CHECK(fixture.isIn(2, health_state::Ejected));
    CHECK(fixture.inRotation() == 6);
}

TEST_CASE("an ejection is sent to the group at once and again before it expires")
{
    auto fixture = core_fixture { groupSettings() };
    failTimes(fixture, 2, 8, attempt_result::ErrorAnswer);
    REQUIRE(fixture.isIn(2, health_state::Ejected));
    CHECK((fixture.sent.back().items[0].state == health_state::Ejected));
    auto before = fixture.sent.size();
    fixture.advance(seconds(60));
    auto resent = fixture.sent.size() - before;
    CHECK(resent >= 4);
    CHECK(resent <= 8);
}

} // namespace gypsumhub
