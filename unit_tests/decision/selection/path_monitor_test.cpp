#include "gypsumhub/decision/selection/path_monitor.h"

#include <doctest/doctest.h>
#include <set>

using namespace gypsumhub;

namespace {

constexpr auto start = time_point {} + seconds(100);
constexpr auto timeout = milliseconds(450);

/// Targets of a service in three data centres, of which some accept connections, and a node that probes them.
class probed_targets {
public:
    explicit probed_targets(uint64_t seed = 1)
        : monitor(seed)
    {
        for (auto index = 0; index < 12; ++index)
            targets.push_back({ .id = "i" + std::to_string(index), .dataCentre = "d" + std::to_string(index % 3) });
        monitor.setListener([this](bool areLost) { areLost ? ++losses : ++returns; });
    }

    auto candidates() const -> std::vector<probe_candidate>
    {
        auto found = std::vector<probe_candidate> {};
        for (auto& target : targets)
            found.push_back({ &target, !unresponsive.contains(target.id) || !knowsUnresponsive });
        return found;
    }

    /// Runs one round of probes if it is due. Returns whether it was.
    auto probe(time_point now) -> bool
    {
        monitor.setTargetCount(targets.size());
        if (!monitor.isProbeDue(now))
            return false;
        for (auto& id : monitor.beginProbes(candidates(), now)) {
            if (unresponsive.contains(id))
                monitor.recordConnectFailure(id, now, now + timeout);
            else
                monitor.recordConnected(id, now + milliseconds(1));
        }
        return true;
    }

    auto failAll() -> void
    {
        for (auto& target : targets)
            unresponsive.insert(target.id);
    }

    auto failTwo(time_point startedAt) -> void
    {
        monitor.recordConnectFailure("i0", startedAt, startedAt + timeout);
        monitor.recordConnectFailure("i1", startedAt, startedAt + timeout);
    }

    std::vector<target_registration> targets;
    std::set<std::string> unresponsive;
    bool knowsUnresponsive { false };
    path_monitor monitor;
    int losses { 0 };
    int returns { 0 };
};

} // namespace

TEST_CASE("path monitor: the paths are lost when neither requests nor probes reach a target, and regained when probes do")
{
    auto node = probed_targets {};
    CHECK_FALSE(node.probe(start));
    node.failAll();
    node.failTwo(start);
    REQUIRE(node.probe(start + timeout));
    CHECK(node.monitor.areLost());
    CHECK(node.monitor.firstFailureAt() == start);
    CHECK(node.losses == 1);

    node.unresponsive.clear();
    CHECK_FALSE(node.probe(start + milliseconds(600)));
    REQUIRE(node.probe(start + milliseconds(1'500)));
    CHECK(node.monitor.areLost());
    REQUIRE(node.probe(start + milliseconds(1'800)));
    CHECK_FALSE(node.monitor.areLost());
    CHECK(node.returns == 1);
    CHECK_FALSE(node.probe(start + milliseconds(5'000)));
}

TEST_CASE("path monitor: targets that have failed are not taken for lost paths")
{
    SUBCASE("all of two data centres of three")
    {
        auto node = probed_targets {};
        for (auto& target : node.targets) {
            if (target.dataCentre == "d0")
                continue;
            node.unresponsive.insert(target.id);
            node.monitor.recordConnectFailure(target.id, start, start + timeout);
        }
        CHECK(node.probe(start + timeout));
        CHECK_FALSE(node.monitor.areLost());
    }
    SUBCASE("one target that refuses connections is no reason to probe")
    {
        auto node = probed_targets {};
        for (auto count = 0; count < 5; ++count)
            node.monitor.recordConnectFailure("i0", start, start);
        CHECK_FALSE(node.probe(start));
    }
    SUBCASE("two of three targets, already known to be bad")
    {
        for (auto seed = uint64_t { 1 }; seed <= 200; ++seed) {
            CAPTURE(seed);
            auto node = probed_targets(seed);
            node.knowsUnresponsive = true;
            for (auto index = size_t { 0 }; index < node.targets.size(); ++index) {
                if (index % 4 != 0 && index % 4 != 1)
                    node.unresponsive.insert(node.targets[index].id);
            }
            node.failTwo(start);
            CHECK(node.probe(start + timeout));
            CHECK_FALSE(node.monitor.areLost());
        }
    }
}

TEST_CASE("path monitor: the only target of a service is probed after its first failure")
{
    auto node = probed_targets {};
    node.targets.resize(1);
    node.failAll();
    node.monitor.recordConnectFailure("i0", start, start);
    CHECK(node.probe(start));
    CHECK(node.monitor.areLost());
}

TEST_CASE("path monitor: paths are lost when all but a few targets are out of reach, and regained when these are reached")
{
    auto node = probed_targets {};
    node.monitor.setTargetCount(node.targets.size());
    node.failAll();
    node.unresponsive.erase("i0");
    for (auto index = 1; index <= 8; ++index) {
        CHECK_FALSE(node.monitor.areLost());
        auto at = start + milliseconds(1'000 * index);
        node.monitor.recordConnectFailure("i" + std::to_string(index), at, at);
        node.monitor.recordConnected("i0", at);
    }
    CHECK(node.monitor.areLost());
    // Probes go to targets that were out of reach, so that the one in reach does not regain the paths.
    for (auto round = 0; round < 12; ++round) {
        CHECK(node.probe(start + milliseconds(10'000 + 500 * round)));
        CHECK(node.monitor.areLost());
    }
    node.unresponsive.clear();
    CHECK(node.probe(start + milliseconds(17'000)));
    CHECK(node.probe(start + milliseconds(17'500)));
    CHECK_FALSE(node.monitor.areLost());
}

TEST_CASE("path monitor: only what failed since the last connection or answer counts")
{
    auto node = probed_targets {};
    node.failAll();
    node.monitor.recordConnected("i0", start + milliseconds(300));
    node.failTwo(start);
    CHECK_FALSE(node.probe(start + timeout));
    node.monitor.recordAnswer(start + milliseconds(600));
    node.monitor.recordNoAnswer("i1", start + milliseconds(500), start + milliseconds(1'500));
    node.monitor.recordNoAnswer("i2", start + milliseconds(500), start + milliseconds(1'500));
    CHECK_FALSE(node.probe(start + milliseconds(1'500)));
    node.monitor.recordNoAnswer("i1", start + milliseconds(700), start + milliseconds(1'700));
    node.monitor.recordNoAnswer("i2", start + milliseconds(700), start + milliseconds(1'700));
    CHECK(node.probe(start + milliseconds(1'700)));
    CHECK(node.monitor.areLost());
}

TEST_CASE("path monitor: failures long apart have nothing to do with each other")
{
    auto node = probed_targets {};
    node.monitor.recordConnectFailure("i1", start, start);
    node.monitor.recordConnectFailure("i2", start + seconds(4), start + seconds(4));
    CHECK_FALSE(node.probe(start + seconds(4)));
}

TEST_CASE("path monitor: paths that work now and then are not regained")
{
    auto node = probed_targets {};
    node.failAll();
    node.failTwo(start);
    node.probe(start + timeout);
    REQUIRE(node.monitor.areLost());
    for (auto round = 0; round < 10; ++round) {
        round % 2 == 0 ? node.unresponsive.clear() : node.failAll();
        CHECK(node.probe(start + milliseconds(2'000 + 1'000 * round)));
        CHECK(node.monitor.areLost());
    }
    // Connections that are not probes, such as one that hung for long, change nothing.
    node.monitor.recordConnected("i0", start + seconds(20));
    node.monitor.recordConnected("i1", start + seconds(20));
    CHECK(node.monitor.areLost());
}
