#include "gypsumhub/gateway/outbound_head.h"
#include "gypsumhub/gateway/relay_fields.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto readFrom(const std::string& value) -> std::optional<relay_fields>
{
    auto request = inbound_message(http::verb::get, "/safe/", 11);
    request.set(relay_fields::name, value);
    return readRelayFields(request);
}

} // namespace

TEST_CASE("the field of a relayed request is read as it was written, and anything else is ignored")
{
    auto read = readFrom(relay_fields { 2, "10.0.0.7", "bookdesk" }.text());
    REQUIRE(read);
    CHECK(read->attempts == 2);
    CHECK(read->callerAddress == "10.0.0.7");
    CHECK(read->service == "bookdesk");
    CHECK_FALSE(readRelayFields(inbound_message(http::verb::get, "/safe/", 11)));
    for (auto malformed : { "", "1", "1 10.0.0.7", "0 10.0.0.7 s", "-1 10.0.0.7 s", "x 10.0.0.7 s", "1  s", "1 10.0.0.7 ", "99999999999 10.0.0.7 s", "1x 10.0.0.7 s" }) {
        CAPTURE(malformed);
        CHECK_FALSE(readFrom(malformed));
    }
}

TEST_CASE("the field of a caller's request is not sent on")
{
    auto request = inbound_message(http::verb::get, "/safe/", 11);
    request.set(relay_fields::name, "1 10.0.0.7 forged");
    auto toTarget = outbound_head(request).setTarget("i-1").setTimeLeft(seconds(1)).build();
    CHECK(toTarget.find(relay_fields::name) == std::string::npos);
    auto toNode = outbound_head(request).setRelay("2 10.0.0.8 bookdesk").setTimeLeft(seconds(1)).build();
    CHECK(toNode.find("forged") == std::string::npos);
    CHECK(toNode.find("Gypsumhub-Relay: 2 10.0.0.8 bookdesk\r\n") != std::string::npos);
    CHECK(toNode.find("Target-Instance") == std::string::npos);
}
