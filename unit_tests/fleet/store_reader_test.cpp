#include "gypsumhub/fleet/store_reader.h"

#include "fakes/fake_store.h"
#include "fakes/sample_revisions.h"
#include "gypsumhub/fleet/verified_configuration.h"
#include "gypsumhub/store/revision_publisher.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    /// A store in virtual time, a reader, and the node that it reads for.
    struct reader_bench final : store_reader_host {
        reader_bench() { publish(sampleRevision()); }

        auto shouldReadStore() -> bool override { return wanted; }
        auto heldRevision() -> std::shared_ptr<const config_revision> override { return held.revision(); }
        auto onStoreRevision(std::shared_ptr<const config_revision> revision, const revision_id& base) -> void override
        {
            CHECK(held.adopt(std::move(revision), base));
        }
        auto onStoreFault(const fault& entry) -> void override { faults.push_back(entry.code); }

        auto publish(std::shared_ptr<const config_revision> next) -> void
        {
            auto clock = store_clock { [this] { return now; }, [this](time_point instant) { now = std::max(now, instant); } };
            auto head = configuration_loader(source).readHead(now + seconds(30)).value();
            REQUIRE(revision_publisher(source, clock).publish(*next, head, now + seconds(30)).value());
            newest = std::move(next);
        }

        // Steps the reader until `end`; the store moves the clock while it blocks.
        auto runUntil(time_point end) -> void
        {
            while (now < end) {
                auto next = reader.step(now);
                now = std::max(now + milliseconds(1), next);
            }
        }
        auto runFor(duration length) -> void { runUntil(now + length); }

        time_point now = time_point {} + seconds(1000);
        fake_store source { now };
        std::shared_ptr<const config_revision> newest;
        bool wanted { true };
        verified_configuration held { [](auto) {} };
        std::vector<result_code> faults;
        store_reader reader { {}, source, *this };
    };

} // namespace

TEST_CASE("a reader takes the head at once, then the next by watch, with few calls")
{
    auto bench = reader_bench();
    bench.reader.step(bench.now);
    CHECK(bench.held.current() == bench.newest->id);
    bench.publish(withCaller(bench.newest, "a", 1));
    bench.reader.step(bench.now);
    CHECK(bench.held.current() == bench.newest->id);

    // A quiet hour: one watch and one read every 20 s.
    auto before = bench.source.state().counts.total();
    bench.runFor(minutes(60));
    auto calls = bench.source.state().counts.total() - before;
    CHECK(calls >= 300);
    CHECK(calls <= 2 * 181);
}

TEST_CASE("a node that is no reader leaves the store alone")
{
    auto bench = reader_bench();
    bench.wanted = false;
    auto before = bench.source.state().counts.total();
    bench.runFor(minutes(10));
    CHECK(bench.source.state().counts.total() == before);
}

TEST_CASE("a watch gone silent is healed by the read after it")
{
    auto bench = reader_bench();
    bench.runFor(seconds(1));
    bench.source.state().faults.silentWatches = true;
    bench.publish(withCaller(bench.newest, "a", 1));
    bench.runFor(seconds(25));
    CHECK(bench.held.current() == bench.newest->id);
}

TEST_CASE("an outage of hours costs few calls, keeps the configuration, and ends by itself")
{
    auto bench = reader_bench();
    bench.runFor(seconds(1));
    auto first = bench.held.current();
    bench.source.state().faults.outageUntil = bench.now + minutes(180);
    auto before = bench.source.state().counts.total();
    bench.runFor(minutes(179));
    CHECK(bench.held.current() == first);
    CHECK(bench.source.state().counts.total() - before < 179 * 60 / 5);
    CHECK(std::ranges::count(bench.faults, result_code::StoreTimeout) + std::ranges::count(bench.faults, result_code::StoreUnavailable) > 0);
    bench.runFor(minutes(2));
    bench.publish(withCaller(bench.newest, "a", 1));
    bench.runFor(seconds(60));
    CHECK(bench.held.current() == bench.newest->id);
}

TEST_CASE("a store put back in time is reported and refused, and so is another history on top of it")
{
    auto bench = reader_bench();
    bench.runFor(seconds(1));
    bench.source.state().snapshot("old");
    auto first = bench.newest;
    bench.publish(withCaller(first, "a", 1));
    bench.runFor(seconds(1));
    auto second = bench.held.current();
    bench.source.state().restore("old");
    bench.runFor(seconds(60));
    CHECK(std::ranges::count(bench.faults, result_code::ConfigurationRolledBack) > 0);
    CHECK(bench.held.current() == second);
    bench.publish(withCaller(withCaller(first, "b", 1), "c", 1));
    bench.runFor(seconds(60));
    CHECK(std::ranges::count(bench.faults, result_code::ConfigurationForked) > 0);
    CHECK(bench.held.current() == second);
}

} // namespace gypsumhub
