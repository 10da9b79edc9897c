#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

auto nested(const std::string& open, const std::string& close, int depth) -> std::string
{
    auto text = std::string {};
    for (auto level = 0; level < depth; ++level)
        text += open;
    text += "1";
    for (auto level = 0; level < depth; ++level)
        text += close;
    return text;
}

auto registration(const std::string& address, const std::string& slots, const std::string& warmUp, const std::string& born) -> std::string
{
    return R"({"address":)" + address + R"(,"born":)" + born + R"(,"info":{"service":"bookdesk","version":"v1","data_centre":"a1","slots":)" + slots
        + R"(},"status":{"state":"ready","sequence":1,"warm_up_left":)" + warmUp + "}}";
}

// Entries of another writer that name no target to use.
auto oddEntries() -> std::vector<std::string>
{
    auto address = std::string(R"("127.0.0.1:9")"), slots = std::string("4"), warmUp = std::string(R"("0ms")"), born = std::string("1700000000123");
    auto entries = std::vector<std::string> {
        "",
        "null",
        "[]",
        "\xff\xfe\x00",
        "{",
        nested("[", "]", 40),
        nested("[", "]", 100'000),
        nested(R"({"info":)", "}", 40),
        nested(R"({"info":)", "}", 100'000),
        registration(address, nested("[", "]", 10'000), warmUp, born),
    };
    for (auto bad : { R"("127.0.0.1:99999")", R"("127.0.0.1:65536")", R"("127.0.0.1:0")", R"("127.0.0.1:-1")", R"("127.0.0.1:")", R"("no address:80")", "7" })
        entries.push_back(registration(bad, slots, warmUp, born));
    for (auto bad : { "1e999", "1e300", "-1", "4294967296", "18446744073709551616", "99999999999999999999999999", "4.5", "\"4\"" })
        entries.push_back(registration(address, bad, warmUp, born));
    for (auto bad : { R"("99999999999999999999s")", R"("4294967295h")", R"("-1ms")", R"("1e9s")", "5" })
        entries.push_back(registration(address, slots, bad, born));
    for (auto bad : { "1e300", "-1", "18446744073709551615", "99999999999999999999999999" })
        entries.push_back(registration(address, slots, warmUp, bad));
    return entries;
}

auto putOddEntries(gateway_fixture& fleet, const std::string& prefix) -> void
{
    auto index = 0;
    for (auto& entry : oddEntries())
        fleet.store.put("servers/" + prefix + std::to_string(index++), entry);
}

// Whether all nodes send requests to the targets that are ready, and only to these.
auto followsChanges(gateway_fixture& fleet, int nodeCount, int drainingTarget) -> bool
{
    fleet.registerTarget(drainingTarget, "draining");
    static auto rounds = 0;
    return eventually([&] {
        auto before = fleet.targets[static_cast<size_t>(drainingTarget)]->totalRuns();
        auto round = "follow-" + std::to_string(++rounds) + "-";
        for (auto node = 0; node < nodeCount; ++node) {
            for (auto count = 0; count < 6; ++count) {
                auto id = round + std::to_string(node) + "-" + std::to_string(count);
                if (sendRequest(gateway_fixture::callerAddress(node), http::verb::get, "/safe/", id).status != 200)
                    return false;
            }
        }
        return fleet.targets[static_cast<size_t>(drainingTarget)]->totalRuns() == before;
    });
}

} // namespace

TEST_CASE("odd entries among the registrations, read by a watch, from another node and by the first listing, end no node and hold up no change")
{
    auto fleet = gateway_fixture {};
    putOddEntries(fleet, "i-watched");
    CHECK(followsChanges(fleet, 2, 0));
    fleet.registerTarget(0, "ready");
    // A node that starts lists the registrations, from the store or from another node.
    fleet.startNode(2);
    REQUIRE(eventually([&] { return fleet.isReady(2); }));
    putOddEntries(fleet, "i-listed");
    CHECK(followsChanges(fleet, 3, 1));
}

TEST_CASE("an odd entry in place of a target's own keeps the target as it was")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 1);
    for (auto& entry : oddEntries()) {
        fleet.store.put("servers/" + gateway_fixture::targetId(0), entry);
        CHECK(sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/safe/", "kept").status == 200);
    }
}
