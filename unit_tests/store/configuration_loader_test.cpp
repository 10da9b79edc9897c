#include "gypsumhub/store/configuration_loader.h"

#include "fakes/fake_store.h"
#include "fakes/faults_of.h"
#include "fakes/sample_revisions.h"
#include "gypsumhub/store/configuration_writer.h"
#include "gypsumhub/store/pacing_store.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    /// A fake store in virtual time, with revisions published directly to it.
    struct loader_fixture {
        loader_fixture() { publish(sampleRevision()); }

        auto clock() -> store_clock
        {
            return { [this] { return now; }, [this](time_point instant) { now = std::max(now, instant); } };
        }

        auto publish(std::shared_ptr<const config_revision> next) -> void
        {
            auto head = configuration_loader(source).readHead(callDeadline()).value();
            REQUIRE(revision_publisher(source, clock()).publish(*next, head, callDeadline()).value());
            newest = std::move(next);
        }

        auto addCaller(std::string_view name) -> void { publish(withCaller(newest, name, 1)); }
        auto callDeadline() const -> time_point { return now + seconds(30); }

        time_point now = time_point {} + seconds(1000);
        fake_store source { now };
        std::shared_ptr<const config_revision> newest;
    };

} // namespace

TEST_CASE("loading a newer head applies deltas, and gives the same entries as a full load")
{
    auto fixture = loader_fixture();
    auto loader = configuration_loader(fixture.source);
    auto current = loader.load(nullptr, fixture.callDeadline()).value();
    CHECK(current->id == fixture.newest->id);
    fixture.addCaller("a");
    fixture.addCaller("b");
    auto callsBefore = fixture.source.state().counts.gets;
    current = loader.load(current, fixture.callDeadline()).value();
    CHECK(current->id == fixture.newest->id);
    // The head and the record before it are read, but no manifest and no chunk.
    CHECK(fixture.source.state().counts.gets - callsBefore == 2);
    CHECK(configuration_loader(fixture.source).load(nullptr, fixture.callDeadline()).value()->entries().value() == current->entries().value());
}

TEST_CASE("a watch that reports a change loads the next revision with one call")
{
    auto fixture = loader_fixture();
    auto loader = configuration_loader(fixture.source);
    auto current = loader.load(nullptr, fixture.callDeadline()).value();
    fixture.addCaller("a");
    auto callsBefore = fixture.source.state().counts.total();
    current = loader.loadNext(current, fixture.now + seconds(10), fixture.callDeadline()).value();
    CHECK(current->id == fixture.newest->id);
    CHECK(fixture.source.state().counts.total() - callsBefore == 1);
}

TEST_CASE("a watch that misses a change delays it at most until the watch's deadline; without the read it is never noticed")
{
    auto fixture = loader_fixture();
    auto loader = configuration_loader(fixture.source);
    auto current = loader.load(nullptr, fixture.callDeadline()).value();
    auto headModRevision = fixture.source.get("gypsumhub/head", fixture.callDeadline()).value()->modRevision;
    fixture.source.state().faults.silentWatches = true;
    fixture.addCaller("a");
    auto begin = fixture.now;
    current = loader.loadNext(current, fixture.now + seconds(10), fixture.now + seconds(15)).value();
    CHECK(current->id == fixture.newest->id);
    CHECK(fixture.now == begin + seconds(10));
    CHECK_FALSE(fixture.source.watch("gypsumhub/head", headModRevision, fixture.now + seconds(600)).value().has_value());
}

TEST_CASE("a restored store is refused, also after further changes; without the chain a loader would lose revisions")
{
    auto fixture = loader_fixture();
    auto loader = configuration_loader(fixture.source);
    fixture.source.state().snapshot("old");
    auto old = fixture.newest;
    fixture.addCaller("a");
    fixture.addCaller("b");
    auto current = loader.load(nullptr, fixture.callDeadline()).value();
    fixture.source.state().restore("old");
    CHECK((codeOf([&] { return loader.load(current, fixture.callDeadline()); }) == result_code::ConfigurationRolledBack));
    CHECK((codeOf([&] { return loader.loadNext(current, fixture.now + seconds(1), fixture.callDeadline()); }) == result_code::ConfigurationRolledBack));
    fixture.newest = old;
    for (auto name : { "c", "d", "e" })
        fixture.addCaller(name);
    CHECK((codeOf([&] { return loader.load(current, fixture.callDeadline()); }) == result_code::ConfigurationForked));
    // The same head, loaded without the current revision, has lost an accepted change.
    auto unchecked = configuration_loader(fixture.source).load(nullptr, fixture.callDeadline()).value();
    CHECK(unchecked->id.number > current->id.number);
    CHECK_FALSE(unchecked->find("register/caller a").value().has_value());
}

TEST_CASE("the fleet's revision can be reinstated in a store that lost it")
{
    auto fixture = loader_fixture();
    fixture.source.state().snapshot("old");
    auto old = fixture.newest;
    for (auto name : { "a", "b", "c" })
        fixture.addCaller(name);
    auto loader = configuration_loader(fixture.source);
    auto current = fixture.newest;
    fixture.source.state().restore("old");
    fixture.newest = old;
    fixture.addCaller("other");
    auto writer = configuration_writer(fixture.source, {}, fixture.clock());
    CHECK(static_cast<bool>(writer.reinstate(*current, fixture.callDeadline())));
    CHECK(loader.load(current, fixture.callDeadline()).value() == current);
    fixture.newest = current;
    fixture.addCaller("d");
    CHECK(loader.load(current, fixture.callDeadline()).value()->id == fixture.newest->id);
    CHECK(writer.history(10, fixture.callDeadline()).value().size() == 5);
}

TEST_CASE("an empty store is refused as a rollback when there is a current revision")
{
    auto fixture = loader_fixture();
    auto current = fixture.newest;
    auto empty = fake_store(fixture.now);
    CHECK((codeOf([&] { return configuration_loader(empty).load(current, fixture.callDeadline()); }) == result_code::ConfigurationRolledBack));
    CHECK(configuration_loader(empty).load(nullptr, fixture.callDeadline()).value() == nullptr);
}

TEST_CASE("a missing or altered chunk is detected")
{
    auto fixture = loader_fixture();
    auto key = std::string("gypsumhub/chunk/") + toHex(fixture.newest->manifest.chunks[0].hash) + '.' + fixture.newest->manifest.chunks[0].tag;
    auto entry = fixture.source.get(key, fixture.callDeadline()).value().value();
    (void)fixture.source.compareAndSwap(key, entry.modRevision, "[]", fixture.callDeadline());
    CHECK((codeOf([&] { return configuration_loader(fixture.source).load(nullptr, fixture.callDeadline()); }) == result_code::ConfigurationInvalid));
    (void)fixture.source.remove(key, fixture.callDeadline());
    CHECK((codeOf([&] { return configuration_loader(fixture.source).load(nullptr, fixture.callDeadline()); }) == result_code::ConfigurationChunkMissing));
}

TEST_CASE("a load that was interrupted resumes with the chunks that it has read")
{
    auto fixture = loader_fixture();
    auto big = std::vector<entry_change> {};
    for (auto index = 100'000; index < 140'000; ++index)
        big.push_back(callerChange("customer-" + std::to_string(index), 1));
    fixture.publish(makeRevision(fixture.newest, big, sampleOrigin("big")).value());
    REQUIRE(fixture.newest->chunks.size() >= 16);
    fixture.source.state().faults.delay = seconds(1);
    // Ten calls of one second each fit into the deadline; the whole load needs more.
    auto loader = configuration_loader(fixture.source);
    auto tries = 0;
    auto loaded = std::shared_ptr<const config_revision> {};
    while (!loaded && tries < 10) {
        ++tries;
        auto code = codeOf([&]() -> leaf::result<int> {
            BOOST_LEAF_ASSIGN(loaded, loader.load(nullptr, fixture.now + seconds(10)));
            return 0;
        });
        CHECK((loaded || code == result_code::StoreTimeout));
    }
    REQUIRE(loaded);
    CHECK(loaded->id == fixture.newest->id);
    CHECK(tries > 1);
}

TEST_CASE("loading fails by the deadline during an outage or with a slow store, and works again afterwards")
{
    auto fixture = loader_fixture();
    auto loader = configuration_loader(fixture.source);
    fixture.source.state().faults.outageUntil = fixture.now + minutes(60);
    auto begin = fixture.now;
    CHECK((codeOf([&] { return loader.load(fixture.newest, begin + seconds(5)); }) == result_code::StoreUnavailable));
    CHECK(fixture.now == begin + seconds(5));
    fixture.now = begin + minutes(61);
    fixture.source.state().faults.delay = seconds(20);
    CHECK((codeOf([&] { return loader.load(fixture.newest, fixture.now + seconds(5)); }) == result_code::StoreTimeout));
    CHECK(loader.load(fixture.newest, fixture.now + seconds(25)).value() == fixture.newest);
}

} // namespace gypsumhub
