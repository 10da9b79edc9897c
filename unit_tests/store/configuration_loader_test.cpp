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

    /// A store in virtual time to which revisions are published directly.
    struct loader_bench {
        loader_bench() { publish(sampleRevision()); }

        auto clock() -> store_clock
        {
            return { [this] { return now; }, [this](time_point instant) { now = std::max(now, instant); } };
        }

        auto publish(std::shared_ptr<const config_revision> next) -> void
        {
            auto head = configuration_loader(source).readHead(soon()).value();
            REQUIRE(revision_publisher(source, clock()).publish(*next, head, soon()).value());
            newest = std::move(next);
        }

        auto addCaller(std::string_view name) -> void { publish(withCaller(newest, name, 1)); }
        auto soon() const -> time_point { return now + seconds(30); }

        time_point now = time_point {} + seconds(1000);
        fake_store source { now };
        std::shared_ptr<const config_revision> newest;
    };

} // namespace

TEST_CASE("loading follows the head by deltas, and a whole load gives the same")
{
    auto bench = loader_bench();
    auto loader = configuration_loader(bench.source);
    auto held = loader.load(nullptr, bench.soon()).value();
    CHECK(held->id == bench.newest->id);
    bench.addCaller("a");
    bench.addCaller("b");
    auto callsBefore = bench.source.state().counts.gets;
    held = loader.load(held, bench.soon()).value();
    CHECK(held->id == bench.newest->id);
    // The head and the one record between; no manifest, no chunk.
    CHECK(bench.source.state().counts.gets - callsBefore == 2);
    CHECK(configuration_loader(bench.source).load(nullptr, bench.soon()).value()->entries().value() == held->entries().value());
}

TEST_CASE("a watch brings the next revision with one call")
{
    auto bench = loader_bench();
    auto loader = configuration_loader(bench.source);
    auto held = loader.load(nullptr, bench.soon()).value();
    bench.addCaller("a");
    auto callsBefore = bench.source.state().counts.total();
    held = loader.loadNext(held, bench.now + seconds(10), bench.soon()).value();
    CHECK(held->id == bench.newest->id);
    CHECK(bench.source.state().counts.total() - callsBefore == 1);
}

TEST_CASE("a silent watch delays a change by the watch's length and no more; a watch alone never sees it")
{
    auto bench = loader_bench();
    auto loader = configuration_loader(bench.source);
    auto held = loader.load(nullptr, bench.soon()).value();
    auto seen = bench.source.get("gypsumhub/head", bench.soon()).value()->modRevision;
    bench.source.state().faults.silentWatches = true;
    bench.addCaller("a");
    auto begin = bench.now;
    held = loader.loadNext(held, bench.now + seconds(10), bench.now + seconds(15)).value();
    CHECK(held->id == bench.newest->id);
    CHECK(bench.now == begin + seconds(10));
    CHECK_FALSE(bench.source.watch("gypsumhub/head", seen, bench.now + seconds(600)).value().has_value());
}

TEST_CASE("a store that was put back is refused, also after it went on; a loader without the chain would step back")
{
    auto bench = loader_bench();
    auto loader = configuration_loader(bench.source);
    bench.source.state().snapshot("old");
    auto old = bench.newest;
    bench.addCaller("a");
    bench.addCaller("b");
    auto held = loader.load(nullptr, bench.soon()).value();
    bench.source.state().restore("old");
    CHECK((codeOf([&] { return loader.load(held, bench.soon()); }) == result_code::ConfigurationRolledBack));
    CHECK((codeOf([&] { return loader.loadNext(held, bench.now + seconds(1), bench.soon()); }) == result_code::ConfigurationRolledBack));
    bench.newest = old;
    for (auto name : { "c", "d", "e" })
        bench.addCaller(name);
    CHECK((codeOf([&] { return loader.load(held, bench.soon()); }) == result_code::ConfigurationForked));
    // The same head, taken without the held revision, has lost what was in force.
    auto unchecked = configuration_loader(bench.source).load(nullptr, bench.soon()).value();
    CHECK(unchecked->id.number > held->id.number);
    CHECK_FALSE(unchecked->find("register/caller a").value().has_value());
}

TEST_CASE("the fleet's revision can be put back into a store that lost it")
{
    auto bench = loader_bench();
    bench.source.state().snapshot("old");
    auto old = bench.newest;
    for (auto name : { "a", "b", "c" })
        bench.addCaller(name);
    auto loader = configuration_loader(bench.source);
    auto held = bench.newest;
    bench.source.state().restore("old");
    bench.newest = old;
    bench.addCaller("other");
    auto writer = configuration_writer(bench.source, {}, bench.clock());
    CHECK(static_cast<bool>(writer.reinstate(*held, bench.soon())));
    CHECK(loader.load(held, bench.soon()).value() == held);
    bench.newest = held;
    bench.addCaller("d");
    CHECK(loader.load(held, bench.soon()).value()->id == bench.newest->id);
    CHECK(writer.history(10, bench.soon()).value().size() == 5);
}

TEST_CASE("an emptied store is a store that was put back")
{
    auto bench = loader_bench();
    auto held = bench.newest;
    auto empty = fake_store(bench.now);
    CHECK((codeOf([&] { return configuration_loader(empty).load(held, bench.soon()); }) == result_code::ConfigurationRolledBack));
    CHECK(configuration_loader(empty).load(nullptr, bench.soon()).value() == nullptr);
}

TEST_CASE("a missing or changed chunk is found out")
{
    auto bench = loader_bench();
    auto key = std::string("gypsumhub/chunk/") + toHex(bench.newest->manifest.chunks[0].hash) + '.' + bench.newest->manifest.chunks[0].tag;
    auto entry = bench.source.get(key, bench.soon()).value().value();
    (void)bench.source.compareAndSwap(key, entry.modRevision, "[]", bench.soon());
    CHECK((codeOf([&] { return configuration_loader(bench.source).load(nullptr, bench.soon()); }) == result_code::ConfigurationInvalid));
    (void)bench.source.remove(key, bench.soon());
    CHECK((codeOf([&] { return configuration_loader(bench.source).load(nullptr, bench.soon()); }) == result_code::ConfigurationChunkMissing));
}

TEST_CASE("a load that is cut off goes on where it stopped")
{
    auto bench = loader_bench();
    auto big = std::vector<entry_change> {};
    for (auto index = 100'000; index < 140'000; ++index)
        big.push_back(callerChange("customer-" + std::to_string(index), 1));
    bench.publish(makeRevision(bench.newest, big, sampleOrigin("big")).value());
    REQUIRE(bench.newest->chunks.size() >= 16);
    bench.source.state().faults.delay = seconds(1);
    // Ten calls of one second each fit the deadline; the whole needs more.
    auto loader = configuration_loader(bench.source);
    auto tries = 0;
    auto loaded = std::shared_ptr<const config_revision> {};
    while (!loaded && tries < 10) {
        ++tries;
        auto code = codeOf([&]() -> leaf::result<int> {
            BOOST_LEAF_ASSIGN(loaded, loader.load(nullptr, bench.now + seconds(10)));
            return 0;
        });
        CHECK((loaded || code == result_code::StoreTimeout));
    }
    REQUIRE(loaded);
    CHECK(loaded->id == bench.newest->id);
    CHECK(tries > 1);
}

TEST_CASE("an outage and a slow store fail by the deadline and leave what is held")
{
    auto bench = loader_bench();
    auto loader = configuration_loader(bench.source);
    bench.source.state().faults.outageUntil = bench.now + minutes(60);
    auto begin = bench.now;
    CHECK((codeOf([&] { return loader.load(bench.newest, begin + seconds(5)); }) == result_code::StoreUnavailable));
    CHECK(bench.now == begin + seconds(5));
    bench.now = begin + minutes(61);
    bench.source.state().faults.delay = seconds(20);
    CHECK((codeOf([&] { return loader.load(bench.newest, bench.now + seconds(5)); }) == result_code::StoreTimeout));
    CHECK(loader.load(bench.newest, bench.now + seconds(25)).value() == bench.newest);
}

} // namespace gypsumhub
