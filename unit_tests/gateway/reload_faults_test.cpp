#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/wire_names.h"
#include "unit_tests/gateway/raw_caller.h"

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace gypsumhub;

namespace {

// The platform asks a node once a second whether it is ready.
constexpr auto maxStall = milliseconds(1'000);

const auto settingsText = std::string(R"([gateway]
name = n1
data_centre = a1
region = a
data_centres = a1:a
caller_address = 127.0.7.1:1
readiness_address = 127.0.7.1:2
directory_address = 127.0.7.1:3
peer_address = 127.0.7.1:4
stop_limit = 2000ms
[store]
address = 127.0.0.1:5
[directory]
lifetime = 1234ms
)");

/// The settings file of the fixture's nodes, in a working directory of its own.
class settings_file {
public:
    settings_file()
    {
        std::filesystem::create_directories(m_directory);
        std::filesystem::current_path(m_directory);
    }

    ~settings_file()
    {
        std::filesystem::current_path(m_before);
        std::filesystem::remove_all(m_directory);
    }

    auto write(const std::string& text) const -> void { std::ofstream("none.ini", std::ios::binary) << text; }

    auto replaceByDirectory() const -> void
    {
        std::filesystem::remove_all("none.ini");
        std::filesystem::create_directory("none.ini");
    }

    auto remove() const -> void { std::filesystem::remove_all("none.ini"); }

private:
    std::filesystem::path m_before { std::filesystem::current_path() };
    std::filesystem::path m_directory { "/tmp/gypsumhub_reload_test." + std::to_string(::getpid()) };
};

auto signalReload() -> void
{
    // Reaches all nodes of the process.
    ::kill(::getpid(), SIGHUP);
}

auto directoryAnswer(int node) -> std::string
{
    auto target = std::string(wire_names::directoryPath) + "?name=h.example&data_centre=a1";
    return sendRequest(gateway_fixture::addressOf(node, gateway_fixture::portOf(3)), http::verb::get, target, "").body;
}

auto takesSettings(int node) -> bool
{
    return directoryAnswer(node).find("1234ms") != std::string::npos;
}

auto many(const std::string& part, size_t bytes) -> std::string
{
    auto text = std::string {};
    while (text.size() < bytes)
        text += part;
    return text;
}

auto manyKeys(size_t bytes) -> std::string
{
    auto text = std::string("[gateway]\n");
    for (auto number = 0; text.size() < bytes; ++number)
        text += "k" + std::to_string(number) + "=1\n";
    return text;
}

} // namespace

TEST_CASE("FAULT: a directory in place of the settings file at a SIGHUP ends no node, and the file is taken when it is back")
{
    auto file = settings_file {};
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "open", .delayMs = 800 }.text());
    REQUIRE(eventually([&] { return fleet.executionsOf("open") == 1; }));
    file.replaceByDirectory();
    signalReload();
    CHECK(eventually([&] { return fleet.linesOfEvent("reload_failed") == 2; }));
    CHECK(caller.read().status == 200);
    file.remove();
    file.write(settingsText);
    signalReload();
    CHECK(eventually([&] { return takesSettings(0) && takesSettings(1); }));
}

TEST_CASE("FAULT: settings files of any content at a SIGHUP end no node and hold up no request")
{
    auto file = settings_file {};
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    constexpr auto largeBytes = size_t { 10'000'000 };
    auto contents = std::vector<std::string> { "", std::string(100, '\0'), std::string(largeBytes, '\0'), std::string(largeBytes, 'x'), many("\n", largeBytes),
        many("x\n", largeBytes), many("[a]\n", largeBytes), settingsText + std::string(largeBytes, '\0'), manyKeys(1'000'000) };
    for (auto& content : contents) {
        CAPTURE(content.substr(0, 40));
        CAPTURE(content.size());
        file.write(content);
        auto sentAt = bootClockNow();
        signalReload();
        for (auto count = 0; count < 5; ++count) {
            caller.send(raw_request { .id = "reload", .delayMs = 10 }.text());
            REQUIRE(caller.read().status == 200);
        }
        CHECK(bootClockNow() - sentAt < maxStall);
    }
    file.write(settingsText);
    signalReload();
    CHECK(eventually([&] { return takesSettings(0) && takesSettings(1); }));
}

TEST_CASE("FAULT: a settings file that is read before all of it is written ends no node")
{
    auto file = settings_file {};
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    for (auto length = size_t { 0 }; length <= settingsText.size(); ++length) {
        file.write(settingsText.substr(0, length));
        signalReload();
        caller.send(raw_request { .id = "cut-" + std::to_string(length) }.text());
        REQUIRE(caller.read().status == 200);
    }
    CHECK(eventually([&] { return takesSettings(0) && takesSettings(1); }));
}

TEST_CASE("LOST: SIGHUPs while requests are open and before and during a stop lose none")
{
    auto file = settings_file {};
    file.write(settingsText);
    auto fleet = gateway_fixture(milliseconds(4'000));
    auto callers = std::vector<std::unique_ptr<raw_caller>> {};
    constexpr auto count = 8;
    auto text = [](int index, const std::string& part, int delayMs) {
        auto isUnsafe = index % 2 == 0;
        return raw_request { .id = part + std::to_string(index), .method = isUnsafe ? "POST" : "GET", .path = isUnsafe ? "/unsafe/" : "/safe/", .delayMs = delayMs }.text();
    };
    for (auto index = 0; index < count; ++index) {
        callers.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
        callers.back()->send(text(index, "first-", 400 + 50 * index) + text(index, "second-", 300));
    }
    for (auto round = 0; round < 20; ++round) {
        signalReload();
        if (round == 10)
            fleet.nodes[0]->requestStop();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    for (auto index = 0; index < count; ++index) {
        CAPTURE(index);
        for (auto& answer : callers[static_cast<size_t>(index)]->read(2))
            CHECK(answer.status == 200);
    }
}
