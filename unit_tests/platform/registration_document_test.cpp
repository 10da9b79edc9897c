#include "gypsumhub/platform/registration_document.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

constexpr auto complete = R"({"address":"10.0.0.9:8080","born":1700000000123,"info":{"service":"s","version":"v1","data_centre":"a1","slots":4},
"status":{"state":"draining","sequence":4,"warm_up_left":"1500ms"}})";

auto isRefused(const std::string& text) -> bool
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(readRegistrationDocument({ "servers/i-1", text, 7 }, {}));
            return false;
        },
        [](const fault_list& list) { return list.faults.front().message.find("servers/i-1") == 0; }, [] { return false; });
}

} // namespace

TEST_CASE("a registration is read with its incarnation and the end of its warm-up")
{
    auto now = time_point {} + seconds(100);
    auto entry = readRegistrationDocument({ "servers/i-1", complete, 7 }, now).value();
    CHECK(entry.id == "i-1");
    CHECK(entry.isDraining);
    CHECK((entry.warmedUpAt == now + milliseconds(1500)));
    CHECK(entry.incarnation == 1'700'000'000'123);
    CHECK(entry.revision == 7);
}

TEST_CASE("a registration that a node passes on reads like the target's own")
{
    auto now = time_point {} + seconds(100), later = now + milliseconds(700);
    auto entry = readRegistrationDocument({ "servers/i-1", complete, 7 }, now).value();
    auto told = writeRegistrationDocument(entry, later);
    CHECK(told.key == "servers/i-1");
    auto again = readRegistrationDocument(told, later).value();
    CHECK(again.hasSameRouting(entry));
    CHECK(again.id == entry.id);
    CHECK(again.revision == entry.revision);
    CHECK((again.warmedUpAt == entry.warmedUpAt));
}

TEST_CASE("an entry of another writer is refused and names the key")
{
    auto text = std::string(complete);
    CHECK(isRefused("\xff\xfe"));
    CHECK(isRefused("{}"));
    CHECK(isRefused("{\"address\":\"10.0.0.9:8080\",\"info\":1,\"status\":{}}"));
    for (auto part : { "10.0.0.9:8080", "draining", "\"slots\":4", "\"service\":\"s\"", "1500ms" }) {
        auto changed = text;
        changed.replace(changed.find(part), std::string_view(part).size(), std::string_view(part).starts_with('"') ? "\"x\":1" : "x");
        CHECK(isRefused(changed));
    }
}
