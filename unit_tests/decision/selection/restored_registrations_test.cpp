#include "gypsumhub/core/store_position.h"
#include "gypsumhub/decision/selection/registration_view.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

auto makeEntry(std::string id, uint16_t era, uint64_t revision, bool isDraining = false, uint64_t incarnation = 1) -> target_registration
{
    auto entry = target_registration {};
    entry.id = std::move(id);
    entry.service = "bookdesk";
    entry.incarnation = incarnation;
    entry.isDraining = isDraining;
    entry.revision = storePosition(era, revision);
    return entry;
}

// A view after a listing at (1, 50) and later changes of era 1.
auto makeView(std::initializer_list<target_registration> changes) -> registration_view
{
    auto view = registration_view {};
    auto listed = std::vector { makeEntry("first", 1, 10) };
    view.replace(listed, storePosition(1, 50), view_source::Store, at(0));
    for (auto& change : changes)
        view.put(change);
    return view;
}

auto list(registration_view& view, std::vector<target_registration> entries, uint16_t era, uint64_t revision, time_point now) -> std::vector<view_change>
{
    return view.replace(entries, storePosition(era, revision), view_source::Store, now);
}

} // namespace

TEST_CASE("positions order changes by era, then by revision")
{
    CHECK(storePosition(2, 1) > storePosition(1, 1'000'000));
    CHECK(storePosition(2, 7) > storePosition(2, 6));
    CHECK(eraOf(storePosition(65'535, 7)) == 65'535);
    CHECK(revisionOf(storePosition(65'535, 7)) == 7);
    CHECK(storePosition(0, storePosition(3, 9)) == storePosition(3, 9));
}

TEST_CASE("a change of the new era counts at once, whatever its revision, and late news of the old era does not")
{
    auto view = makeView({ makeEntry("a", 1, 90), makeEntry("b", 1, 95) });
    CHECK(view.put(makeEntry("a", 2, 60, true)));
    CHECK(view.remove("b", storePosition(2, 61), view_source::Store, at(100)));
    // A datagram of a node that was frozen or cut off.
    CHECK_FALSE(view.put(makeEntry("a", 1, 97)));
    CHECK_FALSE(view.put(makeEntry("b", 1, 98)));
    CHECK_FALSE(view.remove("a", storePosition(1, 99), view_source::Node, at(100)));
    CHECK(view.entries().at("a").isDraining);
    CHECK(view.entries().count("b") == 0);
}

TEST_CASE("entries that the older copy lacks are kept until their targets had time to register again")
{
    auto view = makeView({ makeEntry("again", 1, 90), makeEntry("gone", 1, 91) });
    CHECK(list(view, { makeEntry("first", 2, 10) }, 2, 30, at(1'000)).empty());
    CHECK_FALSE(view.put(makeEntry("again", 2, 31)));
    CHECK(view.takeDueRemovals(at(3'000)).empty());
    auto removed = view.takeDueRemovals(at(3'300));
    REQUIRE(removed.size() == 1);
    CHECK(removed.front().registration.id == "gone");
    CHECK(view.entries().count("again") == 1);
}

TEST_CASE("a removal after the return is not held back")
{
    auto view = makeView({ makeEntry("a", 1, 90) });
    list(view, { makeEntry("first", 2, 10), makeEntry("a", 2, 20) }, 2, 30, at(1'000));
    CHECK(view.remove("a", storePosition(2, 31), view_source::Store, at(1'100)));
}

TEST_CASE("what the older copy says does not bring back targets that left, drained or were replaced")
{
    auto view = makeView({ makeEntry("left", 1, 60), makeEntry("drains", 1, 61), makeEntry("replaced", 1, 62) });
    view.remove("left", storePosition(1, 80), view_source::Store, at(100));
    view.put(makeEntry("drains", 1, 81, true));
    view.put(makeEntry("replaced", 1, 82, false, 2));
    auto copy = std::vector { makeEntry("first", 2, 10), makeEntry("left", 2, 60), makeEntry("drains", 2, 61), makeEntry("replaced", 2, 62) };
    CHECK(list(view, copy, 2, 70, at(1'000)).empty());
    CHECK(view.entries().count("left") == 0);
    CHECK(view.entries().at("drains").isDraining);
    CHECK(view.entries().at("replaced").incarnation == 2);
    // A target that starts again under its id is new.
    CHECK(view.put(makeEntry("left", 2, 71, false, 3)));
}

TEST_CASE("once the targets had time to write again, the store's listing counts")
{
    auto view = makeView({ makeEntry("kept", 1, 60) });
    view.remove("kept", storePosition(1, 80), view_source::Store, at(100));
    auto copy = std::vector { makeEntry("first", 2, 10), makeEntry("kept", 2, 60) };
    CHECK(list(view, copy, 2, 70, at(1'000)).empty());
    CHECK_FALSE(view.takeListingDue(at(5'000)));
    CHECK(view.takeListingDue(at(12'000)));
    CHECK_FALSE(view.takeListingDue(at(12'001)));
    CHECK(list(view, copy, 2, 75, at(12'000)).size() == 1);
}

TEST_CASE("a store that is restored twice in a row, or to nearly the same state, changes nothing by itself")
{
    auto view = makeView({ makeEntry("a", 1, 90) });
    view.put(makeEntry("d", 1, 91, true));
    auto same = [](uint16_t era) { return std::vector { makeEntry("first", era, 10), makeEntry("a", era, 90), makeEntry("d", era, 91, true) }; };
    CHECK(list(view, same(2), 2, 91, at(1'000)).empty());
    auto older = std::vector { makeEntry("first", 3, 10), makeEntry("d", 3, 88) };
    CHECK(list(view, older, 3, 89, at(1'500)).empty());
    CHECK(view.entries().at("d").isDraining);
    CHECK(view.entries().count("a") == 1);
    CHECK(view.put(makeEntry("a", 3, 90, true)));
}

TEST_CASE("a third node orders the listings of a node before and of one after the return")
{
    auto third = makeView({ makeEntry("a", 1, 90) });
    auto after = std::vector { makeEntry("first", 2, 10), makeEntry("a", 2, 40, true) };
    CHECK(third.replace(after, storePosition(2, 40), view_source::Node, at(1'000)).size() == 1);
    auto before = std::vector { makeEntry("first", 1, 10) };
    CHECK(third.replace(before, storePosition(1, 99), view_source::Node, at(1'100)).empty());
    CHECK(third.entries().at("a").isDraining);
}
