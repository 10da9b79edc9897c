#pragma once

#include "fakes/fake_gateway_target.h"
#include "fakes/fake_keyspace_server.h"
#include "gypsumhub/gateway/gateway_node.h"

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace gypsumhub {

/// An answer as received by a caller. Status 0 means that the connection ended without one.
struct received_answer {
    unsigned status { 0 };
    std::string body;
    std::string retryAfter;
};

/// Sends one request on a new connection and waits for the answer.
inline auto sendRequest(const endpoint& node, http::verb method, const std::string& target, const std::string& id) -> received_answer
{
    auto context = asio::io_context {};
    auto socket = tcp::socket(context);
    auto error = error_code {};
    socket.connect({ asio::ip::make_address(node.address), node.port }, error);
    if (error)
        return {};
    auto request = http::request<http::string_body>(method, target, 11);
    request.set(http::field::host, "h.example");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", "5000");
    request.prepare_payload();
    http::write(socket, request, error);
    auto buffer = beast::flat_buffer {};
    auto answer = http::response<http::string_body> {};
    http::read(socket, buffer, answer, error);
    if (error)
        return {};
    return { answer.result_int(), answer.body(), std::string(answer[http::field::retry_after]) };
}

/// Polls until `isTrue` holds. Gives up after at least 15 s, which only a failing test reaches.
template <typename Condition>
auto eventually(Condition isTrue) -> bool
{
    for (auto count = 0; count < 3'000; ++count) {
        if (isTrue())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

/// A fake store, registered fake targets, and two real gateway nodes on loopback.
class gateway_fixture {
public:
    /// `stopLimit` is the time from the signal to stop until the platform would kill the process.
    /// The data centres of the deployment are all in region "a". Targets have 4 slots, which `fewSlots` is compared with.
    explicit gateway_fixture(duration stopLimit = milliseconds(2'000), int targetCount = 3, std::vector<std::string> dataCentres = { "a1" }, uint32_t fewSlots = 0)
        : store("127.0.0.1")
        , m_stopLimit(stopLimit)
        , m_dataCentres(std::move(dataCentres))
        , m_fewSlots(fewSlots)
    {
        configure(1, "bookdesk");
        for (auto index = 0; index < targetCount; ++index) {
            targets.push_back(std::make_unique<fake_gateway_target>("127.0.0.1", targetId(index)));
            registerTarget(index, "ready");
        }
        for (auto index = 0; index < 2; ++index)
            startNode(index);
        REQUIRE(eventually([&] { return isReady(0) && isReady(1); }));
    }

    ~gateway_fixture()
    {
        for (auto& node : nodes)
            node->requestStop();
        for (auto& thread : m_threads)
            thread.join();
        std::fclose(m_log);
    }

    static auto targetId(int index) -> std::string { return "i-target" + std::to_string(index); }
    static auto addressOf(int index, uint16_t port) -> endpoint { return { "127.0.7." + std::to_string(index + 1), port }; }
    /// Ports differ by process, since tests of several builds may run at the same time.
    static auto portOf(int purpose) -> uint16_t { return static_cast<uint16_t>(20'000 + ::getpid() % 2'000 * 6 + purpose); }
    static auto callerAddress(int index) -> endpoint { return addressOf(index, portOf(1)); }

    auto configure(int version, const std::string& service, int maxBodyBytes = 65'536) -> void
    {
        auto routeText = [&](const std::string& name, const std::string& kind) {
            return R"({"name":")" + name + R"(","host":"h.example","prefix":"/)" + name + R"(/","kind":")" + kind
                + R"(","time_limit":"4000ms","latency_target":"2000ms","priority":1,"service":")" + service + R"(","max_attempts":2})";
        };
        auto text = R"({"version":"0000000)" + std::to_string(version) + R"(","routes":[)" + routeText("safe", "safe") + "," + routeText("unsafe", "unsafe")
            + R"(],"services":[{"name":"bookdesk"},{"name":"empty"}],"limits":{"max_header_bytes":16384,"max_body_bytes":)"
            + std::to_string(maxBodyBytes) + R"(,"header_read_limit":"3000ms","idle_limit":"15s"}})";
        store.put("op/config", text);
    }

    auto registerTarget(int index, const std::string& state, const std::string& dataCentre = "a1") -> void
    {
        auto& target = *targets[static_cast<size_t>(index)];
        store.put("servers/" + target.id(), R"({"address":"127.0.0.1:)" + std::to_string(target.port()) + R"(","info":{"service":"bookdesk","version":"v1","data_centre":")" + dataCentre + R"(","slots":4},"status":{"state":")" + state + R"(","sequence":1,"warm_up_left":"0ms"}})");
    }

    /// Starts a crashed target again and registers it under its new id in place of the old one.
    auto restartTarget(int index) -> void
    {
        auto& target = *targets[static_cast<size_t>(index)];
        store.remove("servers/" + target.id());
        target.restart(targetId(index) + "-" + std::to_string(target.crashes()));
        registerTarget(index, "ready");
    }

    auto isReady(int index) -> bool { return sendRequest(addressOf(index, portOf(2)), http::verb::get, "/gypsumhub/readyz", "").status == 200; }

    auto setBehaviour(target_behaviour behaviour) -> void
    {
        for (auto& target : targets)
            target->setBehaviour(behaviour);
    }

    /// Stops the thread of a node for a while, as a machine does whose processor allowance is used up.
    auto pauseNode(int index, std::chrono::milliseconds length) -> void
    {
        static auto pause = std::atomic<int64_t> {};
        pause = length.count();
        auto action = (struct sigaction) {};
        action.sa_handler = [](int) {
            auto savedError = errno;
            auto left = timespec { pause / 1000, pause % 1000 * 1'000'000 };
            while (::nanosleep(&left, &left) != 0) { }
            errno = savedError;
        };
        ::sigaction(SIGUSR2, &action, nullptr);
        ::pthread_kill(m_threads[static_cast<size_t>(index)].native_handle(), SIGUSR2);
    }

    auto executionsOf(const std::string& id) -> int
    {
        auto total = 0;
        for (auto& target : targets)
            total += target->runs(id);
        return total;
    }

    /// Number of log lines of all nodes with this event.
    auto linesOfEvent(const std::string& event) -> int
    {
        auto count = 0;
        auto* reading = std::fopen(m_logPath.c_str(), "r");
        auto line = std::array<char, 4096> {};
        while (std::fgets(line.data(), line.size(), reading))
            count += std::string_view(line.data()).find("\"" + event + "\"") != std::string_view::npos ? 1 : 0;
        std::fclose(reading);
        return count;
    }

    /// The value of a metric without labels.
    auto metricOf(int index, const std::string& name) -> size_t
    {
        auto text = sendRequest(addressOf(index, portOf(5)), http::verb::get, "/metrics", "").body;
        auto position = text.find("\ngypsumhub_" + name + " ");
        return position == std::string::npos ? 0 : static_cast<size_t>(std::stod(text.substr(text.find(' ', position))));
    }

    /// The log lines of all nodes that contain a request's id. Waits until the line of the request's end has been written.
    auto linesOf(const std::string& id) -> std::string
    {
        // Nodes flush their lines a few times a second.
        auto text = std::string {};
        auto hasEnd = [&] {
            text.clear();
            auto* reading = std::fopen(m_logPath.c_str(), "r");
            auto line = std::array<char, 4096> {};
            while (std::fgets(line.data(), line.size(), reading)) {
                if (std::string_view(line.data()).find("\"" + id + "\"") != std::string_view::npos)
                    text += line.data();
            }
            std::fclose(reading);
            return text.find("request_ended") != std::string::npos;
        };
        REQUIRE(eventually(hasEnd));
        return text;
    }

    fake_keyspace_server store;
    std::vector<std::unique_ptr<fake_gateway_target>> targets;
    std::vector<std::unique_ptr<gateway_node>> nodes;

    /// The thread that does all the work of a node.
    auto threadOf(int index) -> pthread_t { return m_threads[static_cast<size_t>(index)].native_handle(); }

    /// Nodes have the indices from 0 in the order of their start.
    auto startNode(int index, const std::string& dataCentre = "a1") -> void
    {
        auto settings = gateway_settings {};
        settings.name = "n" + std::to_string(index + 1);
        settings.dataCentre = dataCentre;
        settings.region = "a";
        for (auto& name : m_dataCentres)
            settings.dataCentres.emplace_back(name, "a");
        settings.callerAddress = callerAddress(index);
        settings.readinessAddress = addressOf(index, portOf(2));
        settings.directoryAddress = addressOf(index, portOf(3));
        settings.metricsAddress = addressOf(index, portOf(5));
        settings.peerAddress = addressOf(index, portOf(4));
        settings.storeAddress = { "127.0.0.1", store.portOf(static_cast<size_t>(index)) };
        settings.stopLimit = m_stopLimit;
        settings.selection.fewSlots = m_fewSlots;
        settings.logDescriptor = ::fileno(m_log);
        nodes.push_back(std::make_unique<gateway_node>(settings, "none.ini"));
        m_threads.emplace_back([node = nodes.back().get()] {
            auto isOk = leaf::try_handle_all(
                [&]() -> leaf::result<bool> {
                    BOOST_LEAF_CHECK(node->run());
                    return true;
                },
                [] { return false; });
            CHECK(isOk);
        });
    }

private:
    duration m_stopLimit;
    std::vector<std::string> m_dataCentres;
    uint32_t m_fewSlots;
    std::string m_logPath { "/tmp/gypsumhub_gateway_test." + std::to_string(::getpid()) + ".log" };
    std::FILE* m_log { std::fopen(m_logPath.c_str(), "w+") };
    std::vector<std::thread> m_threads;
};

} // namespace gypsumhub
