#include "gypsumhub/decision/selection/registration_view.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

auto makeEntry(std::string id, uint64_t revision) -> target_registration
{
    auto entry = target_registration {};
    entry.id = std::move(id);
    entry.service = "bookdesk";
    entry.revision = revision;
    return entry;
}

} // namespace

TEST_CASE("a heartbeat of a target changes only the revision and neither routing nor the digest")
{
    auto view = registration_view {};
    CHECK(view.put(makeEntry("a", 5)));
    auto digest = view.digest();
    CHECK_FALSE(view.put(makeEntry("a", 6)));
    CHECK(view.digest() == digest);
}

TEST_CASE("an older entry neither changes nor restores a target")
{
    auto view = registration_view {};
    auto draining = makeEntry("a", 7);
    draining.isDraining = true;
    view.put(draining);
    CHECK_FALSE(view.put(makeEntry("a", 6)));
    CHECK(view.entries().at("a").isDraining);
    CHECK(view.remove("a", 8, view_source::Store, at(0)));
    CHECK_FALSE(view.put(makeEntry("a", 7)));
    CHECK(view.entries().empty());
    CHECK(view.put(makeEntry("a", 9)));
}

TEST_CASE("removals during a store outage are held back until the targets had time to register again")
{
    auto view = registration_view {};
    view.put(makeEntry("stays", 1));
    view.put(makeEntry("goes", 2));
    view.recordStoreOutage(at(0));
    CHECK_FALSE(view.remove("stays", 3, view_source::Store, at(100)));
    CHECK_FALSE(view.remove("goes", 4, view_source::Store, at(100)));
    CHECK_FALSE(view.put(makeEntry("stays", 5)));
    CHECK(view.takeDueRemovals(at(1'000)).empty());
    auto removed = view.takeDueRemovals(at(3'000));
    REQUIRE(removed.size() == 1);
    CHECK(removed.front().registration.id == "goes");
    CHECK(view.entries().size() == 1);
}

TEST_CASE("a listing removes entries that it does not contain, except newer ones")
{
    auto view = registration_view {};
    view.put(makeEntry("old", 1));
    view.put(makeEntry("newer", 20));
    auto listed = std::vector<target_registration> { makeEntry("listed", 3) };
    auto changes = view.replace(listed, 10, view_source::Store, at(0));
    CHECK(changes.size() == 2);
    CHECK(view.entries().contains("newer"));
    CHECK_FALSE(view.entries().contains("old"));
}

TEST_CASE("a node that cannot reach the store applies removals received from a reader at once and reports them as changes")
{
    auto view = registration_view {};
    view.put(makeEntry("received", 1));
    view.put(makeEntry("listed", 2));
    view.recordStoreOutage(at(0));
    CHECK(view.remove("received", 3, view_source::Node, at(100)));
    CHECK(view.replace({}, 4, view_source::Node, at(100)).size() == 1);
    CHECK(view.entries().empty());
}

TEST_CASE("the digest depends only on the current entries, not on the history of changes")
{
    auto changed = makeEntry("a", 3);
    changed.slots = 7;
    auto view = registration_view {}, direct = registration_view {};
    view.put(makeEntry("a", 1));
    view.put(makeEntry("b", 2));
    view.put(changed);
    view.remove("b", 4, view_source::Store, at(0));
    direct.put(changed);
    CHECK(view.digest() == direct.digest());
    view.remove("a", 5, view_source::Store, at(0));
    CHECK(view.digest() == registration_view {}.digest());
}

TEST_CASE("a listing of some buckets replaces only the entries in them")
{
    auto view = registration_view {}, reader = registration_view {};
    for (auto index = 0; index < 300; ++index) {
        view.put(makeEntry("i-" + std::to_string(index), 5));
        reader.put(makeEntry("i-" + std::to_string(index), 5));
    }
    // Both datagrams, of a target that left and of one that joined, were lost.
    reader.remove("i-7", 9, view_source::Store, at(0));
    reader.put(makeEntry("i-new", 10));
    auto buckets = reader.digests().differing(view.digests());
    CHECK(buckets.count() <= 2);
    auto listed = std::vector<target_registration> {};
    for (auto& [id, entry] : reader.entries()) {
        if (buckets[bucket_digests::bucketOf(id)])
            listed.push_back(entry);
    }
    CHECK(listed.size() < 30);
    auto changes = view.replace(listed, reader.revision(), view_source::Node, at(0), buckets);
    CHECK(changes.size() == 2);
    CHECK(view.digest() == reader.digest());
    CHECK(view.entries().size() == 300);
}
