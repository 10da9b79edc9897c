#include "unit_tests/decision/core_fixture.h"

#include <cmath>
#include <doctest/doctest.h>
#include <functional>

namespace gypsumhub {

namespace {

    constexpr auto fast = ejection_preference::FastDetection;
    constexpr auto few = ejection_preference::FewFalseEjections;

    auto rulesWith(ejection_preference preference, uint32_t floorPercent = 50) -> service_rules
    {
        auto rules = service_rules {};
        rules.preference = preference;
        rules.floorPercent = floorPercent;
        return rules;
    }

    /// A periodic latency distribution with a tail: the median is 20 ms, one in 16 answers takes 80 ms.
    auto healthyLatency(int round) -> duration
    {
        auto quantile = (round * 7 % 16 + 1) / 17.0;
        return { static_cast<int64_t>(20e6 * std::pow(quantile / (1 - quantile), 0.5)) };
    }

    /// Reports a target's exchange of one round.
    using behaviour = std::function<void(core_fixture&, int target, int round)>;

    auto succeed(core_fixture& fixture, int target, int round) -> void
    {
        fixture.attempt(target, attempt_result::Success, healthyLatency(round * 3 + target));
    }

    /// Gives every target that is in rotation one exchange per round, five rounds per second.
    auto runRounds(core_fixture& fixture, int rounds, const behaviour& behave) -> void
    {
        for (auto round = 0; round < rounds; ++round) {
            fixture.advance(milliseconds(200));
            for (auto target = 0; target < 8; ++target) {
                if (fixture.stateOf(target) != health_state::Ejected && fixture.stateOf(target) != health_state::Leaving)
                    behave(fixture, target, round);
            }
        }
    }

    /// Fills the baselines with healthy exchanges.
    auto warmUp(core_fixture& fixture) -> void { runRounds(fixture, 100, succeed); }

    /// Rounds until the target is ejected, or -1.
    auto roundsToEjection(core_fixture& fixture, int target, int limit, const behaviour& behave) -> int
    {
        for (auto round = 0; round < limit; ++round) {
            runRounds(fixture, 1, [&](core_fixture& own, int index, int) { behave(own, index, round); });
            if (fixture.isIn(target, health_state::Ejected))
                return round + 1;
        }
        return -1;
    }

    /// Target 3 fails with this result, the others succeed.
    auto failing(attempt_result result) -> behaviour
    {
        return [result](core_fixture& fixture, int target, int round) {
            if (target == 3)
                fixture.attempt(target, result, milliseconds(5));
            else
                succeed(fixture, target, round);
        };
    }

    auto ejections(const core_fixture& fixture) -> size_t
    {
        return static_cast<size_t>(std::ranges::count(fixture.changes, health_state::Ejected, &state_change_command::to));
    }

} // namespace

TEST_CASE("each kind of failure ejects the failing target, and no sibling")
{
    for (auto result : { attempt_result::ErrorAnswer, attempt_result::MismatchedAnswer, attempt_result::CutAnswer,
             attempt_result::HungAfterHeader, attempt_result::Silent, attempt_result::ConnectFailed, attempt_result::ConnectionLost }) {
        auto fixture = core_fixture { { .rules = rulesWith(few) } };
        warmUp(fixture);
        auto rounds = roundsToEjection(fixture, 3, 10, failing(result));
        CHECK_MESSAGE(rounds > 0, toString(result));
        CHECK(ejections(fixture) == 1);
    }
}

TEST_CASE("a suspected target gets a lower weight before it is ejected")
{
    auto fixture = core_fixture { { .rules = rulesWith(few) } };
    warmUp(fixture);
    runRounds(fixture, 2, failing(attempt_result::ErrorAnswer));
    CHECK(fixture.isIn(3, health_state::Demoted));
    CHECK(fixture.record(3).weight < 1000);
    // Successes remove the suspicion.
    runRounds(fixture, 40, succeed);
    CHECK(fixture.isIn(3, health_state::Healthy));
    CHECK(ejections(fixture) == 0);
}

TEST_CASE("fast detection ejects after fewer failures than few false ejections")
{
    auto roundsWith = [](ejection_preference preference) {
        auto fixture = core_fixture { { .rules = rulesWith(preference) } };
        warmUp(fixture);
        return roundsToEjection(fixture, 3, 20, failing(attempt_result::ErrorAnswer));
    };
    CHECK(roundsWith(fast) > 0);
    CHECK(roundsWith(fast) < roundsWith(few));
}

TEST_CASE("a target three times as slow as its siblings is ejected")
{
    for (auto preference : { fast, few }) {
        auto fixture = core_fixture { { .rules = rulesWith(preference) } };
        warmUp(fixture);
        auto rounds = roundsToEjection(fixture, 3, 60, [](core_fixture& own, int target, int round) {
            own.attempt(target, attempt_result::Success, healthyLatency(round * 3 + target) * (target == 3 ? 3 : 1));
        });
        CHECK(rounds > 0);
        CHECK(ejections(fixture) == 1);
    }
}

TEST_CASE("slowness of the whole service ejects no target")
{
    auto fixture = core_fixture { { .rules = rulesWith(fast) } };
    warmUp(fixture);
    runRounds(fixture, 100, [](core_fixture& own, int target, int round) {
        own.attempt(target, attempt_result::Success, healthyLatency(round * 3 + target) * 3);
    });
    warmUp(fixture);
    CHECK(ejections(fixture) == 0);
}

TEST_CASE("errors of the whole service eject no target")
{
    auto fixture = core_fixture { { .rules = rulesWith(fast) } };
    warmUp(fixture);
    runRounds(fixture, 50, [](core_fixture& own, int target, int) { own.attempt(target, attempt_result::ErrorAnswer); });
    CHECK(ejections(fixture) == 0);
    CHECK(fixture.inRotation() == 8);
}

TEST_CASE("shed requests, cancelled requests and load reports do not make a target unhealthy")
{
    auto fixture = core_fixture { { .rules = rulesWith(fast) } };
    warmUp(fixture);
    for (auto result : { attempt_result::Shed, attempt_result::Cancelled })
        runRounds(fixture, 30, failing(result));
    for (auto report = 0; report < 50; ++report)
        fixture.handle(load_report_event { fixture.target(3), false, 100 });
    CHECK(fixture.isIn(3, health_state::Healthy));
}

TEST_CASE("good load reports do not prevent the ejection of a failing target")
{
    auto fixture = core_fixture { { .rules = rulesWith(few) } };
    warmUp(fixture);
    auto rounds = roundsToEjection(fixture, 3, 10, [](core_fixture& own, int target, int round) {
        own.handle(load_report_event { own.target(target), true, 0 });
        failing(attempt_result::ErrorAnswer)(own, target, round);
    });
    CHECK(rounds > 0);
}

TEST_CASE("lost reused connections do not eject a target, lost new connections do")
{
    auto lost = [](bool reused) {
        auto fixture = core_fixture { { .rules = rulesWith(fast) } };
        warmUp(fixture);
        for (auto connection = 0; connection < 8; ++connection) {
            fixture.advance(milliseconds(100));
            fixture.handle(attempt_event { { fixture.service(), fixture.target(3), attempt_result::ConnectionLost, fixture.now, fixture.now, reused } });
        }
        return fixture.stateOf(3);
    };
    CHECK((lost(true) == health_state::Healthy));
    CHECK((lost(false) == health_state::Ejected));
}

TEST_CASE("missing answers on reused connections start a health check, and a success on a new connection lowers the score")
{
    auto fixture = core_fixture { { .rules = rulesWith(few) } };
    warmUp(fixture);
    for (auto connection = 0; connection < 3; ++connection) {
        fixture.advance(milliseconds(100));
        fixture.handle(attempt_event { { fixture.service(), fixture.target(3), attempt_result::Overdue, fixture.now - seconds(1), fixture.now, true } });
    }
    CHECK(fixture.isIn(3, health_state::Demoted));
    CHECK(!fixture.healthChecks.empty());
    auto suspected = fixture.record(3).scores.errorScore;
    fixture.attempt(3, attempt_result::Success);
    CHECK(fixture.record(3).scores.errorScore < suspected / 2);
}

TEST_CASE("an overdue exchange that ends in success counts as slow and no longer as missing")
{
    auto fixture = core_fixture { { .rules = rulesWith(fast) } };
    warmUp(fixture);
    auto startedAt = fixture.now - seconds(1);
    fixture.handle(attempt_event { { fixture.service(), fixture.target(3), attempt_result::Overdue, startedAt, fixture.now } });
    auto missing = fixture.record(3).scores.errorScore;
    CHECK(missing > 3);
    fixture.handle(attempt_event { { fixture.service(), fixture.target(3), attempt_result::Success, startedAt, fixture.now, true } });
    CHECK(fixture.record(3).scores.errorScore == 0);
    CHECK(fixture.record(3).scores.slowScore > 0);
}

TEST_CASE("a VM that rejoins the list gets slow start, a VM that becomes slow is ejected")
{
    auto slowFrom = [](bool rejoins) {
        auto fixture = core_fixture { { .rules = rulesWith(fast) } };
        auto list = vm_list_event {};
        for (auto index = 0; index < 8; ++index)
            list.live.push_back(fixture.target(index));
        fixture.handle(list);
        warmUp(fixture);
        if (rejoins) {
            auto fewer = list;
            std::erase(fewer.live, fixture.target(3));
            fixture.handle(fewer);
            fixture.handle(list);
            CHECK(fixture.record(3).weight < 1000);
        }
        return roundsToEjection(fixture, 3, 50, [](core_fixture& own, int target, int round) {
            own.attempt(target, attempt_result::Success, healthyLatency(round * 3 + target) * (target == 3 ? 4 : 1));
        });
    };
    CHECK(slowFrom(false) > 0);
    CHECK(slowFrom(true) == -1);
}

TEST_CASE("a draining answer removes the target from rotation at once and is sent to the group")
{
    auto fixture = core_fixture { { .rules = rulesWith(few), .nodes = 3 } };
    fixture.attempt(3, attempt_result::Draining);
    CHECK(fixture.isIn(3, health_state::Leaving));
    CHECK(fixture.view().targets.size() == 7);
    // The evidence is sent to the group in the same event.
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent[0].receivers.size() == 2);
    CHECK((fixture.sent[0].items[0].state == health_state::Leaving));
}

TEST_CASE("explain names each target's state, evidence and reason")
{
    auto fixture = core_fixture { { .rules = rulesWith(few) } };
    warmUp(fixture);
    REQUIRE(roundsToEjection(fixture, 3, 10, failing(attempt_result::ErrorAnswer)) > 0);
    auto text = fixture.core.explain(fixture.service(), fixture.now);
    CHECK(std::ranges::count(text, '\n') == 9);
    CHECK(text.find("vm3: ejected") != std::string::npos);
    CHECK(text.find("score exceeds the ejection threshold: error ") != std::string::npos);
}

TEST_CASE("the same events and seed give the same commands")
{
    auto reasons = [] {
        auto fixture = core_fixture { { .rules = rulesWith(fast), .nodes = 3 } };
        warmUp(fixture);
        roundsToEjection(fixture, 3, 20, failing(attempt_result::CutAnswer));
        runRounds(fixture, 100, succeed);
        auto text = std::string {};
        for (auto& change : fixture.changes)
            text += change.reason + "\n";
        return text + std::to_string(fixture.healthChecks.size()) + " " + std::to_string(fixture.sent.size());
    };
    CHECK(reasons() == reasons());
}

} // namespace gypsumhub
