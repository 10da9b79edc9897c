#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

#include <functional>

using namespace gypsumhub;

namespace {

/// One configuration of the operator.
struct configuration_text {
    std::string service { "bookdesk" };
    bool hasUnsafeRoute { true };
    bool hasService { true };
    int headerBytes { 16'384 };
    int bodyBytes { 65'536 };
    int idleMs { 15'000 };
    int timeLimitMs { 4'000 };

    auto text(int version) const -> std::string
    {
        auto digits = std::array<char, 16> {};
        std::snprintf(digits.data(), digits.size(), "%08x", static_cast<unsigned>(version));
        auto route = [&](const std::string& name) {
            return R"({"name":")" + name + R"(","host":"h.example","prefix":"/)" + name + R"(/","kind":")" + name + R"(","time_limit":")"
                + std::to_string(timeLimitMs) + R"(ms","latency_target":"2000ms","priority":1,"service":")" + service + R"(","max_attempts":2})";
        };
        return R"({"version":")" + std::string(digits.data()) + R"(","routes":[)" + route("safe") + (hasUnsafeRoute ? "," + route("unsafe") : "")
            + R"(],"services":[{"name":"empty"})" + (hasService ? R"(,{"name":"bookdesk"})" : "") + R"(],"limits":{"max_header_bytes":)"
            + std::to_string(headerBytes) + R"(,"max_body_bytes":)" + std::to_string(bodyBytes) + R"(,"header_read_limit":"3000ms","idle_limit":")"
            + std::to_string(idleMs) + R"(ms"}})";
    }
};

/// Sends new configurations, in turn and every 50 ms, until it is destroyed.
class configuration_churn {
public:
    configuration_churn(gateway_fixture& fleet, std::vector<configuration_text> variants)
        : m_thread([this, &fleet, variants = std::move(variants)] {
            for (auto version = 16; !m_hasEnded; ++version) {
                fleet.store.put("op/config", variants[static_cast<size_t>(version) % variants.size()].text(version));
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        })
    {
    }

    ~configuration_churn()
    {
        m_hasEnded = true;
        m_thread.join();
    }

private:
    std::atomic<bool> m_hasEnded { false };
    std::thread m_thread;
};

/// A request of a trial and its answer.
struct judged_request {
    std::string id;
    raw_answer answer;
};

// Sends requests on kept connections, two at a time, for three seconds.
auto callFor(gateway_fixture& fleet, const std::string& name, int workMs) -> std::vector<judged_request>
{
    constexpr auto length = seconds(3);
    constexpr auto callers = 12;
    auto results = std::vector<std::vector<judged_request>>(callers);
    auto threads = std::vector<std::thread> {};
    auto until = bootClockNow() + length;
    for (auto index = 0; index < callers; ++index) {
        threads.emplace_back([&, index] {
            auto& judged = results[static_cast<size_t>(index)];
            auto caller = std::make_unique<raw_caller>(gateway_fixture::callerAddress(index % 2));
            for (auto number = 0; bootClockNow() < until; ++number) {
                auto isUnsafe = (index + number) % 3 == 0;
                auto first = judged.size();
                auto text = std::string {};
                for (auto part = 0; part < 2; ++part) {
                    auto id = name + "-" + std::to_string(index) + "-" + std::to_string(number) + "-" + std::to_string(part);
                    judged.push_back({ id, {} });
                    text += raw_request { .id = id, .method = isUnsafe ? "POST" : "GET", .path = isUnsafe ? "/unsafe/" : "/safe/", .delayMs = workMs + 25 * index, .body = isUnsafe ? std::string(2'000, 'b') : "" }.text();
                }
                caller->send(text);
                auto answers = caller->read(2);
                for (auto part = size_t { 0 }; part < answers.size(); ++part)
                    judged[first + part].answer = answers[part];
                if (answers.size() == 1 || answers.back().isClosing || answers.back().status == 0) {
                    // What was sent behind a closing answer was not read.
                    if (answers.front().isClosing)
                        judged.resize(first + 1);
                    caller = std::make_unique<raw_caller>(gateway_fixture::callerAddress(index % 2));
                }
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    auto all = std::vector<judged_request> {};
    for (auto& part : results)
        all.insert(all.end(), part.begin(), part.end());
    CHECK(fleet.targets.front()->totalRuns() > 0);
    return all;
}

// Every request is answered, and what a target ran has the target's answer.
auto judge(gateway_fixture& fleet, const std::vector<judged_request>& requests) -> void
{
    for (auto& [id, answer] : requests) {
        CAPTURE(id);
        CAPTURE(answer.status);
        CHECK(answer.status != 0);
        CHECK(answer.status != 502);
        CHECK(answer.status != 504);
        if (answer.status != 200)
            CHECK(fleet.executionsOf(id) == 0);
        if (answer.status == 200)
            CHECK(answer.id == id);
    }
}

auto configureAndWait(gateway_fixture& fleet, const configuration_text& configuration, int version) -> void
{
    auto taken = fleet.linesOfEvent("configuration_taken");
    fleet.store.put("op/config", configuration.text(version));
    REQUIRE(eventually([&] { return fleet.linesOfEvent("configuration_taken") >= taken + 2; }));
}

} // namespace

TEST_CASE("LOST: requests on kept connections are answered while configurations move, drop and restore their routes")
{
    auto fleet = gateway_fixture {};
    auto requests = std::vector<judged_request> {};
    {
        auto churn = configuration_churn(fleet, { {}, { .service = "empty" }, {}, { .hasUnsafeRoute = false }, { .service = "empty", .hasService = false } });
        requests = callFor(fleet, "moved", 300);
    }
    judge(fleet, requests);
}

TEST_CASE("LOST: requests on kept connections are answered while configurations shrink the limits of callers and of routes")
{
    auto fleet = gateway_fixture {};
    auto requests = std::vector<judged_request> {};
    {
        auto churn = configuration_churn(fleet, { {}, { .headerBytes = 200 }, { .bodyBytes = 1'000 }, { .idleMs = 1'000 }, { .timeLimitMs = 2'500 } });
        requests = callFor(fleet, "shrunk", 100);
    }
    judge(fleet, requests);
}

TEST_CASE("LOST: a body that is still arriving when a configuration shrinks the limits is answered")
{
    auto fleet = gateway_fixture {};
    constexpr auto pieces = 40;
    constexpr auto pieceBytes = 1'000;
    auto body = std::string(static_cast<size_t>(pieces * pieceBytes), 'b');
    auto callers = std::vector<std::unique_ptr<raw_caller>> {};
    auto head = [&](const std::string& id) {
        auto text = raw_request { .id = id, .method = "POST", .path = "/unsafe/", .body = body }.text();
        return text.substr(0, text.size() - body.size());
    };
    for (auto index = 0; index < 4; ++index) {
        callers.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(index % 2)));
        callers.back()->send(head("body-" + std::to_string(index)));
    }
    for (auto piece = 0; piece < pieces; ++piece) {
        if (piece == pieces / 2)
            configureAndWait(fleet, { .headerBytes = 100, .bodyBytes = 1'000, .idleMs = 300 }, 20);
        for (auto& caller : callers)
            caller->send(body.substr(static_cast<size_t>(piece * pieceBytes), pieceBytes));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    for (auto index = 0; index < 4; ++index) {
        auto answer = callers[static_cast<size_t>(index)]->read();
        CAPTURE(index);
        CHECK((answer.status == 200 || answer.status == 413));
        CHECK(fleet.executionsOf("body-" + std::to_string(index)) == (answer.status == 200 ? 1 : 0));
    }
}

TEST_CASE("LOST: a configuration with a short idle timeout ends no connection with an open request, and none whose next request has been read")
{
    auto fleet = gateway_fixture {};
    auto open = raw_caller(gateway_fixture::callerAddress(0));
    open.send(raw_request { .id = "open", .method = "POST", .path = "/unsafe/", .delayMs = 2'000 }.text());
    REQUIRE(eventually([&] { return fleet.executionsOf("open") == 1; }));
    auto idle = std::vector<std::unique_ptr<raw_caller>> {};
    constexpr auto count = 20;
    for (auto index = 0; index < count; ++index) {
        idle.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
        idle.back()->send(raw_request { .id = "first-" + std::to_string(index) }.text());
        REQUIRE(idle.back()->read().status == 200);
    }
    configureAndWait(fleet, { .idleMs = 300 }, 20);
    // The limit that was in force when a connection became idle still holds for it; after the next answer it is the new one.
    for (auto index = 0; index < count; ++index) {
        auto& caller = *idle[static_cast<size_t>(index)];
        caller.send(raw_request { .id = "second-" + std::to_string(index) }.text());
        CHECK(caller.read().status == 200);
    }
    auto threads = std::vector<std::thread> {};
    auto answers = std::vector<raw_answer>(count);
    for (auto index = 0; index < count; ++index) {
        threads.emplace_back([&, index] {
            std::this_thread::sleep_for(std::chrono::milliseconds(285 + index));
            auto& caller = *idle[static_cast<size_t>(index)];
            caller.send(raw_request { .id = "third-" + std::to_string(index), .method = "POST", .path = "/unsafe/", .delayMs = 400 }.text());
            answers[static_cast<size_t>(index)] = caller.read();
        });
    }
    for (auto& thread : threads)
        thread.join();
    for (auto index = 0; index < count; ++index) {
        CAPTURE(index);
        CHECK(fleet.executionsOf("third-" + std::to_string(index)) == (answers[static_cast<size_t>(index)].status == 200 ? 1 : 0));
    }
    CHECK(open.read().status == 200);
}

TEST_CASE("LOST: a configuration that shortens the time limit does not end work that is open")
{
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "long-1", .delayMs = 1'800 }.text() + raw_request { .id = "long-2", .delayMs = 1'500 }.text());
    REQUIRE(eventually([&] { return fleet.executionsOf("long-1") == 1 && fleet.executionsOf("long-2") == 1; }));
    configureAndWait(fleet, { .timeLimitMs = 500 }, 20);
    for (auto& answer : caller.read(2))
        CHECK(answer.status == 200);
}

TEST_CASE("LOST: a stop while configurations change, and configurations during a stop, lose no long work")
{
    auto fleet = gateway_fixture(milliseconds(5'000));
    auto callers = std::vector<std::unique_ptr<raw_caller>> {};
    constexpr auto count = 12;
    {
        auto churn = configuration_churn(fleet, { {}, { .service = "empty" }, { .headerBytes = 200, .bodyBytes = 1'000 }, { .idleMs = 200 }, { .timeLimitMs = 1'000 } });
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        for (auto index = 0; index < count; ++index) {
            callers.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
            callers.back()->send(raw_request { .id = "stop-" + std::to_string(index), .method = "POST", .path = "/unsafe/", .delayMs = 500 + 100 * index }.text());
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
            if (index == count / 2)
                fleet.nodes[0]->requestStop();
        }
        for (auto index = 0; index < count; ++index) {
            auto id = "stop-" + std::to_string(index);
            CAPTURE(id);
            auto answer = callers[static_cast<size_t>(index)]->read();
            CAPTURE(answer.status);
            CHECK(answer.status != 0);
            // With a time limit of 1 s a target may give up longer work itself.
            auto isOwnEnd = answer.status == 504 && 500 + 100 * index >= 950;
            CHECK((answer.status == 200 || isOwnEnd || fleet.executionsOf(id) == 0));
        }
    }
}
