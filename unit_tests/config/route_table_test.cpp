#include "gypsumhub/config/route_table_builder.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto makeRoute(std::string name, std::string prefix) -> route
{
    auto made = route {};
    made.name = std::move(name);
    made.host = "h.example";
    made.prefix = std::move(prefix);
    made.services = { { "s", 1 } };
    return made;
}

auto faultsOf(route_table_builder& builder) -> std::vector<fault>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<fault>> {
            BOOST_LEAF_CHECK(builder.build());
            return std::vector<fault> {};
        },
        [](const fault_list& list) { return list.faults; }, [] { return std::vector<fault>(1); });
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found")
{
    auto builder = route_table_builder {};
    builder.addService("s").addRoute(makeRoute("short", "/a/")).addRoute(makeRoute("long", "/a/b/"));
    auto table = builder.build().value();
    CHECK(table->find("h.example", "/a/b/c")->name == "long");
    CHECK(table->find("h.example", "/a/bc")->name == "short");
    CHECK(table->find("h.example", "/a") == nullptr);
    CHECK(table->find("other.example", "/a/b/") == nullptr);
}

TEST_CASE("a table with faults is refused, and all faults are reported")
{
    auto builder = route_table_builder {};
    auto negative = makeRoute("negative", "/n/");
    negative.timeLimit = { -1 };
    auto unknown = makeRoute("unknown", "/u/");
    unknown.services = { { "missing", 1 } };
    builder.addService("s").addRoute(makeRoute("bare", "a")).addRoute(negative).addRoute(unknown);
    builder.addRoute(makeRoute("one", "/x/")).addRoute(makeRoute("two", "/x/"));
    auto faults = faultsOf(builder);
    REQUIRE(faults.size() == 4);
    CHECK(faults[0].message.find("route \"bare\": prefix") == 0);
    CHECK(faults[2].message.find("service \"missing\" does not exist") != std::string::npos);
}
