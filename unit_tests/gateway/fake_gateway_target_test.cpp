#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

TEST_CASE("a crashed stand-in target resets all connections, refuses new ones and comes back under another id")
{
    auto target = fake_gateway_target("127.0.0.1", "first");
    auto address = endpoint { "127.0.0.1", target.port() };
    auto askFor = [](const std::string& instance) { return "Target-Instance: " + instance + "\r\n"; };
    auto idle = raw_caller(address);
    auto waiting = raw_caller(address);
    waiting.send(raw_request { .id = "waiting", .delayMs = 60'000, .fields = askFor("first"), .deadlineMs = 60'000 }.text());
    REQUIRE(eventually([&] { return target.runs("waiting") == 1; }));
    auto crashing = raw_caller(address);
    crashing.send(raw_request { .id = "crashing", .delayMs = 50, .fields = askFor("first") + fake_gateway_target::crashField + ": 1\r\n" }.text());
    for (auto* caller : { &idle, &waiting, &crashing }) {
        CHECK(caller->read().status == 0);
        CHECK(!caller->endedCleanly());
    }
    CHECK(target.runs("crashing") == 1);
    CHECK(target.isDown());
    CHECK(target.crashes() == 1);
    CHECK_THROWS_AS(raw_caller { address }, boost::system::system_error);
    target.restart("second");
    CHECK(target.port() == address.port);
    auto returning = raw_caller(address);
    returning.send(raw_request { .id = "old", .fields = askFor("first") }.text() + raw_request { .id = "new", .fields = askFor("second") }.text());
    CHECK(returning.read().status == 421);
    CHECK(returning.read().status == 200);
    target.crash();
    target.crash();
    CHECK(target.crashes() == 2);
    CHECK(returning.read().status == 0);
    CHECK(!returning.endedCleanly());
}
