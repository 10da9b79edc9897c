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
    struct reader_fixture final : store_reader_host {
        reader_fixture() { publish(sampleRevision()); }

        auto shouldReadStore() -> bool override { return readsStore; }
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
        bool readsStore { true };
        verified_configuration held { [](auto) {} };
        std::vector<result_code> faults;
        store_reader reader { {}, source, *this };
    };

} // namespace

TEST_CASE("a reader reads the head at once and later revisions by watch, with few calls")
{
    auto fixture = reader_fixture();
    fixture.reader.step(fixture.now);
    CHECK(fixture.held.current() == fixture.newest->id);
    fixture.publish(withCaller(fixture.newest, "a", 1));
    fixture.reader.step(fixture.now);
    CHECK(fixture.held.current() == fixture.newest->id);

    // An hour without changes: one watch and one read every 20 s.
    auto before = fixture.source.state().counts.total();
    fixture.runFor(minutes(60));
    auto calls = fixture.source.state().counts.total() - before;
    CHECK(calls >= 300);
    CHECK(calls <= 2 * 181);
}

TEST_CASE("a node that is not a designated reader makes no store calls")
{
    auto fixture = reader_fixture();
    fixture.readsStore = false;
    auto before = fixture.source.state().counts.total();
    fixture.runFor(minutes(10));
    CHECK(fixture.source.state().counts.total() == before);
}

TEST_CASE("the read after a silent watch finds the new revision")
{
    auto fixture = reader_fixture();
    fixture.runFor(seconds(1));
    fixture.source.state().faults.silentWatches = true;
    fixture.publish(withCaller(fixture.newest, "a", 1));
    fixture.runFor(seconds(25));
    CHECK(fixture.held.current() == fixture.newest->id);
}

TEST_CASE("during an outage of hours the reader makes few calls and keeps the configuration, and it recovers afterwards")
{
    auto fixture = reader_fixture();
    fixture.runFor(seconds(1));
    auto first = fixture.held.current();
    fixture.source.state().faults.outageUntil = fixture.now + minutes(180);
    auto before = fixture.source.state().counts.total();
    fixture.runFor(minutes(179));
    CHECK(fixture.held.current() == first);
    CHECK(fixture.source.state().counts.total() - before < 179 * 60 / 5);
    CHECK(std::ranges::count(fixture.faults, result_code::StoreTimeout) + std::ranges::count(fixture.faults, result_code::StoreUnavailable) > 0);
    fixture.runFor(minutes(2));
    fixture.publish(withCaller(fixture.newest, "a", 1));
    fixture.runFor(seconds(60));
    CHECK(fixture.held.current() == fixture.newest->id);
}

TEST_CASE("a rolled-back store is reported and refused, and so is a forked history on top of it")
{
    auto fixture = reader_fixture();
    fixture.runFor(seconds(1));
    fixture.source.state().snapshot("old");
    auto first = fixture.newest;
    fixture.publish(withCaller(first, "a", 1));
    fixture.runFor(seconds(1));
    auto second = fixture.held.current();
    fixture.source.state().restore("old");
    fixture.runFor(seconds(60));
    CHECK(std::ranges::count(fixture.faults, result_code::ConfigurationRolledBack) > 0);
    CHECK(fixture.held.current() == second);
    fixture.publish(withCaller(withCaller(first, "b", 1), "c", 1));
    fixture.runFor(seconds(60));
    CHECK(std::ranges::count(fixture.faults, result_code::ConfigurationForked) > 0);
    CHECK(fixture.held.current() == second);
}

} // namespace gypsumhub
