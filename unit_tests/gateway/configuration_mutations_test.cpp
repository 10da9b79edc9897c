#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/configuration_document.h"
#include "gypsumhub/platform/registration_document.h"
#include "unit_tests/gateway/raw_caller.h"

#include <boost/asio/ip/udp.hpp>
#include <random>

using namespace gypsumhub;

namespace {

constexpr auto seed = uint64_t { 4900 };

// Changes, removes, repeats or inserts some bytes.
auto mutate(std::string text, std::mt19937_64& random) -> std::string
{
    constexpr auto pieces = std::to_array<std::string_view>({ "\"", "{", "}", "[", "]", "null", "-1", "1e999", "18446744073709551616", ",", ":", "0", "\\u0000", "ms", "" });
    for (auto count = 1 + random() % 3; count > 0 && !text.empty(); --count) {
        auto at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, random() % 20);
            break;
        case 2:
            text.insert(at, pieces[random() % pieces.size()]);
            break;
        default:
            text.insert(at, text.substr(at, random() % 40));
        }
    }
    return text;
}

const auto configurationText = std::string(R"({"version":"0000000c","routes":[{"name":"safe","host":"h.example","prefix":"/safe/","kind":"safe","time_limit":"4000ms",)"
                                           R"("latency_target":"2000ms","priority":1,"service":"bookdesk","max_attempts":2},{"name":"parts","host":"h.example","prefix":"/parts/",)"
                                           R"("kind":"unsafe","time_limit":"4s","latency_target":"2000ms","priority":1,"max_attempts":1,"split":[{"service":"bookdesk","weight":3},)"
                                           R"({"service":"empty","weight":1}]}],"services":[{"name":"bookdesk"},{"name":"empty"}],"limits":{"max_header_bytes":16384,)"
                                           R"("max_body_bytes":65536,"header_read_limit":"3000ms","idle_limit":"15s"}})");

const auto registrationText = std::string(R"({"address":"127.0.0.1:9","born":1700000000123,"info":{"service":"bookdesk","version":"v1","data_centre":"a1","slots":4},)"
                                          R"("status":{"state":"ready","sequence":1,"warm_up_left":"0ms"}})");

auto readsConfiguration(const std::string& text) -> bool
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(table, readConfigurationDocument(text));
            return table != nullptr;
        },
        [](const fault_list&) { return false; },
        [] { return false; });
}

// One datagram of each kind that names the fixture's targets.
auto datagrams(time_point now) -> std::vector<node_datagram>
{
    auto entry = target_registration {};
    entry.id = gateway_fixture::targetId(0);
    entry.service = "bookdesk";
    entry.address = { "127.0.0.1", 9 };
    entry.dataCentre = "a1";
    entry.slots = 4;
    entry.revision = 77;
    auto limit = target_limit { entry.id, 0, 3.5, now };
    auto fingerprint = request_fingerprint { 1, 2 };
    return { { "n2", node_hello { "n2", true, false, 1, 5, milliseconds(3), 7, {}, { "h.example" } } }, { "n2", std::vector { peer_outcome { entry.id, 0, true, now } } },
        { "n2", std::vector { view_change { entry, false }, view_change { entry, true } } },
        { "n2", std::vector { crash_report { entry.id, 0, "bookdesk", now, { fingerprint } } } }, { "n2", exonerations { { fingerprint } } },
        { "n2", std::vector { quarantined_request { fingerprint, now + seconds(3) } } }, { "n2", std::vector { limit } },
        { "n2", permit_request { limit, "n2", 1, 3 } }, { "n2", permit_grant { limit, 1, 2, milliseconds(5) } }, { "n2", std::vector { leaving_target { entry.id, 0 } } } };
}

} // namespace

TEST_CASE("FAULT: odd configurations and registrations of any writer are refused by a fault, never by an exception")
{
    auto random = std::mt19937_64(seed);
    CHECK(readsConfiguration(configurationText));
    for (auto round = 0; round < 20'000; ++round) {
        auto text = mutate(configurationText, random);
        CAPTURE(text);
        // An exception would leave through the handlers, which take none.
        CHECK_NOTHROW(static_cast<void>(readConfigurationDocument(text)));
        auto entry = store_entry { "servers/i-1", mutate(registrationText, random), 5 };
        CAPTURE(entry.value);
        CHECK_NOTHROW(static_cast<void>(readRegistrationDocument(entry, bootClockNow())));
    }
}

TEST_CASE("FAULT: odd datagrams of a peer end no node and throw nothing")
{
    auto fleet = gateway_fixture {};
    auto random = std::mt19937_64(seed);
    auto context = asio::io_context {};
    auto socket = asio::ip::udp::socket(context, { asio::ip::make_address("127.0.7.2"), 0 });
    auto node = gateway_fixture::addressOf(0, gateway_fixture::portOf(4));
    auto receiver = asio::ip::udp::endpoint(asio::ip::make_address(node.address), node.port);
    auto before = fleet.metricOf(0, "bad_datagrams_total");
    for (auto round = 0; round < 600; ++round) {
        for (auto& datagram : datagrams(bootClockNow())) {
            auto bytes = encodeDatagram(datagram, bootClockNow());
            if (round > 0)
                bytes = mutate(std::move(bytes), random);
            auto ignored = error_code {};
            socket.send_to(asio::buffer(bytes), receiver, 0, ignored);
        }
        if (round % 20 == 0)
            REQUIRE(sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/safe/", "between").status != 0);
    }
    CHECK(fleet.isReady(0));
    CHECK(fleet.metricOf(0, "bad_datagrams_total") > before);
    CHECK(fleet.metricOf(0, "internal_failures_total") == 0);
}
