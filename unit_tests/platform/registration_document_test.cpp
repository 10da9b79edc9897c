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

TEST_CASE("a registration is parsed with its incarnation and the end of its warm-up")
{
    auto now = time_point {} + seconds(100);
    auto entry = readRegistrationDocument({ "servers/i-1", complete, 7 }, now).value();
    CHECK(entry.id == "i-1");
    CHECK(entry.isDraining);
    CHECK((entry.warmedUpAt == now + milliseconds(1500)));
    CHECK(entry.incarnation == 1'700'000'000'123);
    CHECK(entry.revision == 7);
}

TEST_CASE("a registration relayed by a node parses like the target's own")
{
    auto now = time_point {} + seconds(100), later = now + milliseconds(700);
    auto entry = readRegistrationDocument({ "servers/i-1", complete, 7 }, now).value();
    auto written = writeRegistrationDocument(entry, later);
    CHECK(written.key == "servers/i-1");
    auto again = readRegistrationDocument(written, later).value();
    CHECK(again.hasSameRouting(entry));
    CHECK(again.id == entry.id);
    CHECK(again.revision == entry.revision);
    CHECK((again.warmedUpAt == entry.warmedUpAt));
}

TEST_CASE("a warm-up that does not fit is refused instead of wrapping around")
{
    auto withWarmUp = [](const std::string& length) {
        auto text = std::string(complete);
        return text.replace(text.find("1500ms"), 6, length);
    };
    CHECK_FALSE(isRefused(withWarmUp("8784h")));
    CHECK(isRefused(withWarmUp("8785h")));
    CHECK(isRefused(withWarmUp("4294967295h")));
    CHECK(isRefused(withWarmUp("4294967296s")));
    CHECK(isRefused(withWarmUp("99999999999999999999s")));
}

TEST_CASE("an invalid entry is refused with a message that begins with its key")
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
