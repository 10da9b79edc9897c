// Measures the latency that a node adds to a request over loopback, compared with direct calls to the target in the same process.

#include "fakes/fake_target.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"
#include "gypsumhub/proxy/proxy_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdio>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

namespace gypsumhub {

namespace {

    constexpr auto runs = 3;
    constexpr auto requestsPerRun = 480;
    constexpr auto requestInterval = std::chrono::microseconds(1'000'000 / 120);
    constexpr auto throughputSeconds = 2;
    constexpr auto throughputCallers = 8;
    constexpr auto badCallers = 1000;
    constexpr auto badCallerInterval = std::chrono::milliseconds(100);
    constexpr auto addedTargetMs = 4.5;

    /// Ignores attempt reports.
    class ignoring_listener : public attempt_listener {
    public:
        auto onAttempt(const attempt_report&) -> void override { }
    };

    /// Grants every claim at once.
    class unrestricted_claims : public claim_port {
    public:
        auto claim(claim_query, std::function<void(claim_verdict)> done) -> void override
        {
            done({ claim_decision::Dispatch, result_code::Ok, nullptr });
        }
        auto finish(const claim_query&, claim_end, std::shared_ptr<const kept_answer>) -> void override { }
    };

    /// A blocking caller with one persistent connection.
    class blocking_caller {
    public:
        explicit blocking_caller(uint16_t port)
            : m_socket(m_ioContext)
        {
            m_socket.connect({ asio::ip::make_address("127.0.0.1"), port });
            m_socket.set_option(tcp::no_delay(true));
        }

        /// Sends one request and returns its latency in milliseconds.
        auto sendRequest() -> double
        {
            constexpr auto request = std::string_view { "GET /find HTTP/1.1\r\nHost: desk\r\nGypsumhub-Request-Id: r\r\n\r\n" };
            auto startedAt = steadyClockNow();
            asio::write(m_socket, asio::buffer(request));
            auto parser = http::response_parser<http::string_body> {};
            http::read(m_socket, m_buffer, parser);
            return (steadyClockNow() - startedAt).seconds() * 1e3;
        }

    private:
        asio::io_context m_ioContext;
        tcp::socket m_socket;
        beast::flat_buffer m_buffer;
    };

    auto percentile(std::vector<double> values, double share) -> double
    {
        std::ranges::sort(values);
        return values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
    }

    auto median(std::vector<double> values) -> double
    {
        return percentile(std::move(values), 0.5);
    }

    // Difference of the p99 latencies through the node and directly. The calls alternate, so both see the same machine load.
    auto measureAdded(uint16_t nodePort, uint16_t targetPort) -> double
    {
        auto throughNode = blocking_caller(nodePort);
        auto direct = blocking_caller(targetPort);
        auto nodeTimes = std::vector<double> {};
        auto directTimes = std::vector<double> {};
        auto next = std::chrono::steady_clock::now();
        for (auto request = 0; request < requestsPerRun; ++request) {
            std::this_thread::sleep_until(next += requestInterval);
            nodeTimes.push_back(throughNode.sendRequest());
            directTimes.push_back(direct.sendRequest());
        }
        return percentile(nodeTimes, 0.99) - percentile(directTimes, 0.99);
    }

    // Requests per second of callers that send the next request as soon as the answer arrives.
    auto measureThroughput(uint16_t port) -> double
    {
        auto count = std::atomic<uint64_t> { 0 };
        auto isStopping = std::atomic<bool> { false };
        auto callers = std::vector<std::jthread> {};
        for (auto number = 0; number < throughputCallers; ++number) {
            callers.emplace_back([&] {
                auto caller = blocking_caller(port);
                for (; !isStopping; ++count)
                    caller.sendRequest();
            });
        }
        auto startedAt = steadyClockNow();
        std::this_thread::sleep_for(std::chrono::seconds(throughputSeconds));
        isStopping = true;
        callers.clear();
        return static_cast<double>(count) / (steadyClockNow() - startedAt).seconds();
    }

    // Half of the callers send a header byte by byte, the other half send malformed requests. Closed connections are reopened.
    auto sendBadRequests(uint16_t port, const std::atomic<bool>& isStopping) -> void
    {
        auto ioContext = asio::io_context {};
        auto sockets = std::vector<std::unique_ptr<tcp::socket>>(badCallers);
        while (!isStopping) {
            for (auto index = size_t { 0 }; index < sockets.size() && !isStopping; ++index) {
                auto& socket = sockets[index];
                auto error = error_code {};
                auto isBroken = index % 2 == 0;
                if (!socket) {
                    socket = std::make_unique<tcp::socket>(ioContext);
                    socket->connect({ asio::ip::make_address("127.0.0.1"), port }, error);
                    socket->write_some(asio::buffer("GET / HTTP/1.1\r\nX: ", 19), error);
                }
                socket->write_some(asio::buffer(isBroken ? "\n\n" : "x", 1), error);
                if (error || isBroken)
                    socket.reset();
            }
            std::this_thread::sleep_for(badCallerInterval);
        }
    }

    auto makeSnapshot(const fake_target& target, node_key self) -> std::shared_ptr<routing_snapshot>
    {
        auto service = std::make_shared<service_spec>();
        service->name = "desk";
        service->key = { hashName("desk") };
        auto config = std::make_shared<configuration>();
        config->revision.number = 1;
        config->routes = config->routes.with({ { "/", "desk" } }, {});
        config->services["desk"] = service;
        auto view = service_view {};
        view.spec = service;
        view.targets.push_back({ { 1 }, { "127.0.0.1", target.port() }, health_state::Healthy, 0, 64, 1000, std::make_shared<target_load>() });
        view.group.push_back({ self, { "127.0.0.1", 1 }, 0, "dc" });
        auto snapshot = std::make_shared<routing_snapshot>();
        snapshot->config = config;
        snapshot->services.push_back(view);
        return snapshot;
    }

    auto printRow(const char* name, double value, const char* unit, double target) -> bool
    {
        auto passed = value <= target;
        std::printf("%s %.3f %s %.1f %s\n", name, value, unit, target, passed ? "pass" : "fail");
        return passed;
    }

    auto medianOfRuns(const std::function<double()>& measureOnce) -> double
    {
        auto values = std::vector<double> {};
        for (auto run = 0; run < runs; ++run)
            values.push_back(measureOnce());
        return median(values);
    }

    auto measureAll() -> bool
    {
        auto targetSettings = fake_target::settings {};
        targetSettings.slots = 64;
        auto target = fake_target(targetSettings);
        auto settings = proxy_server_settings {};
        settings.self = { 1 };
        settings.callerAddress = { "127.0.0.1", 0 };
        settings.requestThreads = 1;
        auto snapshot = rcu_cell<routing_snapshot>(makeSnapshot(target, settings.self));
        auto listener = ignoring_listener {};
        auto claims = unrestricted_claims {};
        auto server = proxy_server(settings, snapshot, listener, claims);
        if (!server.start())
            return false;

        auto added = medianOfRuns([&] { return measureAdded(server.port(), target.port()); });
        auto passed = printRow("added_latency_ms_p99", added, "ms", addedTargetMs);
        auto throughNode = medianOfRuns([&] { return measureThroughput(server.port()); });
        auto direct = medianOfRuns([&] { return measureThroughput(target.port()); });
        // Both figures have no target and are compared with each other.
        std::printf("node_requests_per_core_second %.0f requests/s none info\n", throughNode);
        std::printf("direct_requests_per_core_second %.0f requests/s none info\n", direct);
        auto isStopping = std::atomic<bool> { false };
        auto badCallerThread = std::jthread([&] { sendBadRequests(server.port(), isStopping); });
        auto addedWithBadCallers = medianOfRuns([&] { return measureAdded(server.port(), target.port()); });
        isStopping = true;
        badCallerThread.join();
        return printRow("added_latency_ms_p99_with_1000_bad_callers", addedWithBadCallers, "ms", addedTargetMs) && passed;
    }

} // namespace

} // namespace gypsumhub

auto main() -> int
{
    // Both ends of a thousand connections are open in this process.
    auto limit = rlimit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    return gypsumhub::measureAll() ? 0 : 1;
}
