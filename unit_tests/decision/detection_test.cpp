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

    /// A latency whose spread repeats, with a tail: 20 ms at the middle, one in 16 takes 80 ms.
    auto healthyLatency(int turn) -> duration
    {
        auto place = (turn * 7 % 16 + 1) / 17.0;
        return { static_cast<int64_t>(20e6 * std::pow(place / (1 - place), 0.5)) };
    }

    /// What a target answers in a given turn.
    using behaviour = std::function<void(core_fixture&, int target, int turn)>;

    auto answerWell(core_fixture& bench, int target, int turn) -> void
    {
        bench.attempt(target, attempt_result::Success, healthyLatency(turn * 3 + target));
    }

    /// Gives every target that is in rotation one exchange a turn, five turns a second.
    auto runTurns(core_fixture& bench, int turns, const behaviour& behave) -> void
    {
        for (auto turn = 0; turn < turns; ++turn) {
            bench.advance(milliseconds(200));
            for (auto target = 0; target < 8; ++target) {
                if (bench.stateOf(target) != health_state::Ejected && bench.stateOf(target) != health_state::Leaving)
                    behave(bench, target, turn);
            }
        }
    }

    auto warm(core_fixture& bench) -> void { runTurns(bench, 100, answerWell); }

    /// Turns until the target is ejected, or -1.
    auto turnsToEjection(core_fixture& bench, int target, int limit, const behaviour& behave) -> int
    {
        for (auto turn = 0; turn < limit; ++turn) {
            runTurns(bench, 1, [&](core_fixture& own, int index, int) { behave(own, index, turn); });
            if (bench.isIn(target, health_state::Ejected))
                return turn + 1;
        }
        return -1;
    }

    /// Target 3 fails with this result, the others do well.
    auto failing(attempt_result result) -> behaviour
    {
        return [result](core_fixture& bench, int target, int turn) {
            if (target == 3)
                bench.attempt(target, result, milliseconds(5));
            else
                answerWell(bench, target, turn);
        };
    }

    auto ejections(const core_fixture& bench) -> size_t
    {
        return static_cast<size_t>(std::ranges::count(bench.changes, health_state::Ejected, &state_change_command::to));
    }

} // namespace

TEST_CASE("each kind of failure ejects the failing target, and no sibling")
{
    for (auto result : { attempt_result::ErrorAnswer, attempt_result::MismatchedAnswer, attempt_result::CutAnswer,
             attempt_result::HungAfterHeader, attempt_result::Silent, attempt_result::ConnectFailed, attempt_result::ConnectionLost }) {
        auto bench = core_fixture { { .rules = rulesWith(few) } };
        warm(bench);
        auto turns = turnsToEjection(bench, 3, 10, failing(result));
        CHECK_MESSAGE(turns > 0, toString(result));
        CHECK(ejections(bench) == 1);
    }
}

TEST_CASE("suspicion lowers the weight before it suffices for ejection")
{
    auto bench = core_fixture { { .rules = rulesWith(few) } };
    warm(bench);
    runTurns(bench, 2, failing(attempt_result::ErrorAnswer));
    CHECK(bench.isIn(3, health_state::Demoted));
    CHECK(bench.record(3).weight < 1000);
    // Success takes the suspicion away again.
    runTurns(bench, 40, answerWell);
    CHECK(bench.isIn(3, health_state::Healthy));
    CHECK(ejections(bench) == 0);
}

TEST_CASE("fast detection ejects after fewer failures than few false ejections")
{
    auto turnsWith = [](ejection_preference preference) {
        auto bench = core_fixture { { .rules = rulesWith(preference) } };
        warm(bench);
        return turnsToEjection(bench, 3, 20, failing(attempt_result::ErrorAnswer));
    };
    CHECK(turnsWith(fast) > 0);
    CHECK(turnsWith(fast) < turnsWith(few));
}

TEST_CASE("a target three times as slow as its siblings is ejected")
{
    for (auto preference : { fast, few }) {
        auto bench = core_fixture { { .rules = rulesWith(preference) } };
        warm(bench);
        auto turns = turnsToEjection(bench, 3, 60, [](core_fixture& own, int target, int turn) {
            own.attempt(target, attempt_result::Success, healthyLatency(turn * 3 + target) * (target == 3 ? 3 : 1));
        });
        CHECK(turns > 0);
        CHECK(ejections(bench) == 1);
    }
}

TEST_CASE("slowness of the whole service ejects nobody")
{
    auto bench = core_fixture { { .rules = rulesWith(fast) } };
    warm(bench);
    runTurns(bench, 100, [](core_fixture& own, int target, int turn) {
        own.attempt(target, attempt_result::Success, healthyLatency(turn * 3 + target) * 3);
    });
    warm(bench);
    CHECK(ejections(bench) == 0);
}

TEST_CASE("errors of the whole service eject nobody")
{
    auto bench = core_fixture { { .rules = rulesWith(fast) } };
    warm(bench);
    runTurns(bench, 50, [](core_fixture& own, int target, int) { own.attempt(target, attempt_result::ErrorAnswer); });
    CHECK(ejections(bench) == 0);
    CHECK(bench.inRotation() == 8);
}

TEST_CASE("shedding, cancelling and load reports are not sickness")
{
    auto bench = core_fixture { { .rules = rulesWith(fast) } };
    warm(bench);
    for (auto result : { attempt_result::Shed, attempt_result::Cancelled })
        runTurns(bench, 30, failing(result));
    for (auto report = 0; report < 50; ++report)
        bench.handle(load_report_event { bench.target(3), false, 100 });
    CHECK(bench.isIn(3, health_state::Healthy));
}

TEST_CASE("good load reports do not shield a failing target")
{
    auto bench = core_fixture { { .rules = rulesWith(few) } };
    warm(bench);
    auto turns = turnsToEjection(bench, 3, 10, [](core_fixture& own, int target, int turn) {
        own.handle(load_report_event { own.target(target), true, 0 });
        failing(attempt_result::ErrorAnswer)(own, target, turn);
    });
    CHECK(turns > 0);
}

TEST_CASE("connections lost on reuse are dead connections, not a sick VM")
{
    auto lost = [](bool reused) {
        auto bench = core_fixture { { .rules = rulesWith(fast) } };
        warm(bench);
        for (auto connection = 0; connection < 8; ++connection) {
            bench.advance(milliseconds(100));
            bench.handle(attempt_event { { bench.service(), bench.target(3), attempt_result::ConnectionLost, bench.now, bench.now, reused } });
        }
        return bench.stateOf(3);
    };
    CHECK((lost(true) == health_state::Healthy));
    CHECK((lost(false) == health_state::Ejected));
}

TEST_CASE("silent reused connections are closed and probed, and real work over a new one clears the target")
{
    auto bench = core_fixture { { .rules = rulesWith(few) } };
    warm(bench);
    for (auto connection = 0; connection < 3; ++connection) {
        bench.advance(milliseconds(100));
        bench.handle(attempt_event { { bench.service(), bench.target(3), attempt_result::Overdue, bench.now - seconds(1), bench.now, true } });
    }
    CHECK(bench.isIn(3, health_state::Demoted));
    CHECK(!bench.probes.empty());
    auto suspected = bench.record(3).scores.errorScore;
    bench.attempt(3, attempt_result::Success);
    CHECK(bench.record(3).scores.errorScore < suspected / 2);
}

TEST_CASE("an overdue exchange that ends in success is judged as slow, not as missing")
{
    auto bench = core_fixture { { .rules = rulesWith(fast) } };
    warm(bench);
    auto startedAt = bench.now - seconds(1);
    bench.handle(attempt_event { { bench.service(), bench.target(3), attempt_result::Overdue, startedAt, bench.now } });
    auto missing = bench.record(3).scores.errorScore;
    CHECK(missing > 3);
    bench.handle(attempt_event { { bench.service(), bench.target(3), attempt_result::Success, startedAt, bench.now, true } });
    CHECK(bench.record(3).scores.errorScore == 0);
    CHECK(bench.record(3).scores.slowScore > 0);
}

TEST_CASE("a VM that joins the list anew is granted a cold start, one that turns slow is not")
{
    auto slowFrom = [](bool rejoins) {
        auto bench = core_fixture { { .rules = rulesWith(fast) } };
        auto list = vm_list_event {};
        for (auto index = 0; index < 8; ++index)
            list.live.push_back(bench.target(index));
        bench.handle(list);
        warm(bench);
        if (rejoins) {
            auto fewer = list;
            std::erase(fewer.live, bench.target(3));
            bench.handle(fewer);
            bench.handle(list);
            CHECK(bench.record(3).weight < 1000);
        }
        return turnsToEjection(bench, 3, 50, [](core_fixture& own, int target, int turn) {
            own.attempt(target, attempt_result::Success, healthyLatency(turn * 3 + target) * (target == 3 ? 4 : 1));
        });
    };
    CHECK(slowFrom(false) > 0);
    CHECK(slowFrom(true) == -1);
}

TEST_CASE("a draining answer takes the target out at once and closes its idle connections")
{
    auto bench = core_fixture { { .rules = rulesWith(few), .nodes = 3 } };
    bench.attempt(3, attempt_result::Draining);
    CHECK(bench.isIn(3, health_state::Leaving));
    CHECK(bench.view().targets.size() == 7);
    // The group hears of it in the same event.
    REQUIRE(bench.sent.size() == 1);
    CHECK(bench.sent[0].receivers.size() == 2);
    CHECK((bench.sent[0].items[0].state == health_state::Leaving));
}

TEST_CASE("explain names each target's state, evidence and reason")
{
    auto bench = core_fixture { { .rules = rulesWith(few) } };
    warm(bench);
    REQUIRE(turnsToEjection(bench, 3, 10, failing(attempt_result::ErrorAnswer)) > 0);
    auto text = bench.core.explain(bench.service(), bench.now);
    CHECK(std::ranges::count(text, '\n') == 9);
    CHECK(text.find("vm3: ejected") != std::string::npos);
    CHECK(text.find("evidence suffices: error ") != std::string::npos);
}

TEST_CASE("the same events and seed give the same commands")
{
    auto reasons = [] {
        auto bench = core_fixture { { .rules = rulesWith(fast), .nodes = 3 } };
        warm(bench);
        turnsToEjection(bench, 3, 20, failing(attempt_result::CutAnswer));
        runTurns(bench, 100, answerWell);
        auto text = std::string {};
        for (auto& change : bench.changes)
            text += change.reason + "\n";
        return text + std::to_string(bench.probes.size()) + " " + std::to_string(bench.sent.size());
    };
    CHECK(reasons() == reasons());
}

} // namespace gypsumhub
