#include "gypsumhub/config/node_settings_reader.h"

#include "fakes/faults_of.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    constexpr auto goodSettings = R"([node]
name = hub-1
data_centre = ahd-a
caller_address = 127.2.0.1:8000
peer_address = 127.2.0.1:8001
operator_address = 127.2.0.1:8002
[store]
addresses = 127.3.0.1:2379, 127.3.0.2:2379
[list]
address = 127.3.0.3:80
[peers]
seeds = 127.2.0.2:8001, [::1]:8001
key = 00112233445566778899aabbccddeeff
previous_key = ffeeddccbbaa99887766554433221100
[limits]
request_threads = 4
answer_lifetime = 5s
[logs]
span_log = /tmp/spans.jsonl
)";

} // namespace

TEST_CASE("settings are read from INI text")
{
    auto settings = parseNodeSettings(goodSettings, "hub.ini").value();
    CHECK(settings.name == "hub-1");
    CHECK(settings.storeAddresses.size() == 2);
    CHECK(settings.vmListAddress == endpoint { "127.3.0.3", 80 });
    CHECK(settings.seedPeers[1] == endpoint { "::1", 8001 });
    CHECK(settings.peerKeys.size() == 2);
    CHECK(settings.requestThreads == 4);
    CHECK(settings.answerLifetime == seconds(5));
    CHECK(settings.stopLimit == seconds(60));
    CHECK(settings.spanLog == "/tmp/spans.jsonl");
}

TEST_CASE("every fault of the settings is reported in order of line")
{
    auto text = std::string("[node]\nname = hub-1\ncaller_address = hub:80\npeer_adress = 127.0.0.1:1\n[peers]\nkey = short\n[limits]\nrequest_threads = 0\n[other]\n");
    auto faults = faultsOf([&] { return parseNodeSettings(text, "hub.ini"); }).faults;
    auto lines = std::vector<uint32_t> {};
    for (auto& entry : faults) {
        CHECK((entry.code == result_code::SettingsInvalid));
        CHECK_FALSE(entry.hint.empty());
        lines.push_back(entry.line);
    }
    // Nowhere to read from; data_centre, peer_address and operator_address missing; then each bad line.
    CHECK(lines == std::vector<uint32_t> { 0, 1, 1, 1, 3, 4, 6, 8, 9 });
}

TEST_CASE("a setting that nothing honours is a fault, not silently taken")
{
    for (auto line : { "[operator]\nkey = let-me-in\n", "trace_log = /tmp/trace.jsonl\n" })
        CHECK(faultsOf([&] { return parseNodeSettings(std::string(goodSettings) + line, "hub.ini"); }).faults.size() == 1);
}

TEST_CASE("listening addresses must differ")
{
    auto text = std::string(goodSettings);
    text.replace(text.find("127.2.0.1:8002"), 14, "127.2.0.1:8000");
    CHECK(faultsOf([&] { return parseNodeSettings(text, "hub.ini"); }).faults.size() == 1);
}

} // namespace gypsumhub
