#include "gypsumhub/config/gateway_settings_reader.h"
#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

#include <csignal>
#include <fstream>
#include <thread>

using namespace gypsumhub;

namespace {

// Ends before the platform would kill the node.
constexpr auto endTolerance = milliseconds(50);

/// A node with a settings file, beside the two nodes of a fixture that are never stopped.
class node_with_file {
public:
    explicit node_with_file(const gateway_fixture& fleet)
        : m_storePort(fleet.store.port())
    {
        writeFile("6s");
        auto settings = leaf::try_handle_all([&] { return readGatewaySettings(m_path); }, [] { return gateway_settings {}; });
        settings.logDescriptor = ::fileno(m_log);
        m_node = std::make_unique<gateway_node>(settings, m_path);
        m_thread = std::thread([this] {
            leaf::try_handle_all([&]() -> leaf::result<void> { return m_node->run(); }, [] { CHECK(false); });
            m_endedAt = bootClockNow();
        });
        REQUIRE(eventually([] { return sendRequest(gateway_fixture::addressOf(index, gateway_fixture::portOf(2)), http::verb::get, "/gypsumhub/readyz", "").status == 200; }));
    }

    ~node_with_file()
    {
        join();
        std::fclose(m_log);
        std::remove(m_path.c_str());
    }

    static auto address() -> endpoint { return gateway_fixture::callerAddress(index); }

    /// Replaces the file at once, as the platform does.
    auto writeFile(const std::string& stopLimit) -> void
    {
        auto text = "[gateway]\nname = n3\ndata_centre = a1\nregion = a\ndata_centres = a1:a\nstop_limit = " + stopLimit + "\n";
        auto addAddress = [&](const std::string& key, int purpose) {
            auto used = gateway_fixture::addressOf(index, gateway_fixture::portOf(purpose));
            text += key + " = " + used.address + ":" + std::to_string(used.port) + "\n";
        };
        addAddress("caller_address", 1);
        addAddress("readiness_address", 2);
        addAddress("directory_address", 3);
        addAddress("peer_address", 4);
        addAddress("metrics_address", 5);
        text += "[store]\naddress = 127.0.0.1:" + std::to_string(m_storePort) + "\n";
        std::ofstream(m_path + ".new") << text;
        std::rename((m_path + ".new").c_str(), m_path.c_str());
    }

    auto stop() -> void
    {
        m_stoppedAt = bootClockNow();
        m_node->requestStop();
    }

    auto join() -> void
    {
        m_node->requestStop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Waits for the end of the node and returns the time that it took from the stop.
    auto stopTime() -> duration
    {
        join();
        return m_endedAt - m_stoppedAt;
    }

    auto hasLine(const std::string& text) -> bool
    {
        std::rewind(m_log);
        auto line = std::array<char, 4096> {};
        while (std::fgets(line.data(), line.size(), m_log)) {
            if (std::string_view(line.data()).find(text) != std::string_view::npos)
                return true;
        }
        return false;
    }

private:
    static constexpr auto index = 2;

    uint16_t m_storePort;
    std::string m_path { "/tmp/gypsumhub_stop_limit_test." + std::to_string(::getpid()) + ".ini" };
    std::FILE* m_log { std::tmpfile() };
    std::unique_ptr<gateway_node> m_node;
    std::thread m_thread;
    time_point m_stoppedAt {};
    time_point m_endedAt {};
};

/// Callers on kept connections, each with one request that is open at its target.
class open_requests {
public:
    open_requests(gateway_fixture& fleet, const std::vector<int>& workMs)
    {
        for (auto work : workMs) {
            m_callers.push_back(std::make_unique<raw_caller>(node_with_file::address()));
            auto id = "open-" + std::to_string(work);
            m_callers.back()->send(raw_request { .id = id, .method = "POST", .path = "/unsafe/", .delayMs = work }.text());
            REQUIRE(eventually([&] { return fleet.executionsOf(id) == 1; }));
        }
    }

    auto read() -> std::vector<unsigned>
    {
        auto statuses = std::vector<unsigned> {};
        for (auto& caller : m_callers)
            statuses.push_back(caller->read().status);
        return statuses;
    }

private:
    std::vector<std::unique_ptr<raw_caller>> m_callers;
};

auto sleepFor(int64_t ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

TEST_CASE("a stop limit that was shortened in the file without a signal holds at SIGTERM: open requests are answered before the kill")
{
    auto fleet = gateway_fixture();
    auto node = node_with_file(fleet);
    auto open = open_requests(fleet, { 1'000, 3'500 });
    node.writeFile("2s");
    node.stop();
    CHECK(open.read() == std::vector<unsigned> { 200, 504 });
    auto took = node.stopTime();
    CAPTURE(took.milliseconds());
    CHECK((took < seconds(2) - endTolerance));
}

TEST_CASE("a stop limit that is shortened during a stop ends it earlier, with every open or waiting request answered, and never later")
{
    auto fleet = gateway_fixture();
    auto node = node_with_file(fleet);
    // The targets have 12 slots.
    auto open = open_requests(fleet, { 1'000, 3'900, 3'901, 3'902, 3'903, 3'904, 3'905, 3'906, 3'907, 3'908, 3'909, 3'910 });
    auto waiting = raw_caller(node_with_file::address());
    waiting.send(raw_request { .id = "waits" }.text());
    node.stop();
    sleepFor(300);
    node.writeFile("2500ms");
    std::raise(SIGHUP);
    sleepFor(300);
    node.writeFile("6s");
    std::raise(SIGHUP);
    auto late = raw_caller(node_with_file::address());
    sleepFor(900);
    // Past half of the shorter limit only what is certain to end in time is served.
    late.send(raw_request { .id = "late", .method = "POST", .path = "/unsafe/" }.text());
    CHECK(late.read().status == 503);
    CHECK(fleet.executionsOf("late") == 0);
    auto statuses = open.read();
    CHECK(statuses.front() == 200);
    for (auto index = size_t { 1 }; index < statuses.size(); ++index)
        CHECK(statuses[index] == 504);
    auto waited = waiting.read().status;
    // Placed when the first one ended, or refused.
    CHECK((waited == 200 || (waited == 503 && fleet.executionsOf("waits") == 0)));
    auto took = node.stopTime();
    CAPTURE(took.milliseconds());
    CHECK((took < milliseconds(2'500) - endTolerance));
    CHECK((took > milliseconds(1'900)));
}

TEST_CASE("a stop limit that is already over when it is shortened still lets open requests be answered")
{
    auto fleet = gateway_fixture();
    auto node = node_with_file(fleet);
    auto open = open_requests(fleet, { 3'500, 3'900 });
    node.stop();
    sleepFor(1'000);
    node.writeFile("1s");
    std::raise(SIGHUP);
    CHECK(open.read() == std::vector<unsigned> { 504, 504 });
    auto took = node.stopTime();
    CAPTURE(took.milliseconds());
    CHECK((took < milliseconds(1'400)));
}

TEST_CASE("a faulty settings file at SIGTERM keeps the limit in force, and says so")
{
    auto fleet = gateway_fixture();
    auto node = node_with_file(fleet);
    auto open = open_requests(fleet, { 2'500 });
    node.writeFile("soon");
    node.stop();
    CHECK(open.read() == std::vector<unsigned> { 200 });
    CHECK(node.hasLine("\"reload_failed\""));
    CHECK((node.stopTime() > seconds(5)));
}
