#include "soak/soak_run.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace gypsumhub {

namespace {

    constexpr auto pollInterval = milliseconds(5);
    constexpr auto targetProcessingTime = milliseconds(15);
    constexpr auto stopLimit = milliseconds(2500);
    // Allows for a late exit on a busy machine.
    constexpr auto stopSlack = milliseconds(1000);
    // Time in which a node receives the configuration after its start.
    constexpr auto startCatchUpTime = milliseconds(2000);
    constexpr auto startLimit = seconds(10);
    // Equals `recover_s` of the users' sites.
    constexpr auto recoveryLimit = seconds(15);
    // Time in which the health of targets and the membership converge on the nodes.
    constexpr auto settleTime = seconds(4);
    constexpr auto steadyTime = seconds(2);

    // Ports below the range that the system uses for outgoing connections. They depend on the process id, so that several soak runs can
    // run concurrently.
    auto portOf(int purpose) -> uint16_t
    {
        return static_cast<uint16_t>(31'000 + ::getpid() % 150 * 5 + purpose);
    }

    auto wait(duration length) -> void
    {
        std::this_thread::sleep_for(std::chrono::nanoseconds(length.ns));
    }

} // namespace

soak_run::soak_run(const soak_settings& settings, uint64_t seed, std::string program, std::string folder)
    : m_settings(settings)
    , m_folder(std::move(folder))
    , m_plan(makeSoakPlan(seed, settings))
    , m_work(asio::make_work_guard(m_context))
{
    makeTargets();
    configure();
    makeNodes(program, m_folder);
    auto random = random_generator(seed);
    for (auto index = uint32_t { 0 }; index < settings.callers; ++index)
        m_callers.push_back(std::make_unique<soak_caller>(m_context, m_addresses, random(), "c" + std::to_string(index)));
    m_thread = std::thread([this] { m_context.run(); });
}

soak_run::~soak_run()
{
    m_nodes.clear();
    m_context.stop();
    m_thread.join();
}

auto soak_run::makeTargets() -> void
{
    for (auto index = uint32_t { 0 }; index < m_settings.targets; ++index) {
        auto id = std::string(index % 2 == 0 ? "i-a" : "i-b") + std::to_string(index);
        auto created = target { std::make_unique<fake_gateway_target>("127.0.0.1", id), nullptr };
        created.server->setServiceTime(targetProcessingTime);
        created.link = std::make_unique<fault_link>(m_context, endpoint { "127.0.0.1", created.server->port() });
        m_targets.push_back(std::move(created));
        registerTarget(index, "ready");
    }
}

auto soak_run::registerTarget(uint32_t index, std::string_view state) -> void
{
    auto& target = m_targets[index];
    auto service = index % 2 == 0 ? "a" : "b";
    auto text = R"({"address":")" + formatEndpoint(target.link->address()) + R"(","info":{"service":")" + service
        + R"(","version":"v1","data_centre":"a1","slots":16},"status":{"state":")" + std::string(state) + R"(","sequence":1,"warm_up_left":"0ms"}})";
    m_store.put("servers/" + target.server->id(), text);
}

auto soak_run::configure() -> void
{
    ++m_version;
    auto service = std::string(m_version % 2 == 0 ? "b" : "a");
    auto routeText = [&](const std::string& name) {
        return R"({"name":")" + name + R"(","host":"h.example","prefix":"/)" + name + R"(/","kind":")" + name
            + R"(","time_limit":"4000ms","latency_target":"2000ms","priority":1,"service":")" + service + R"(","max_attempts":2})";
    };
    auto version = std::to_string(10'000'000 + m_version);
    m_store.put("op/config", R"({"version":")" + version + R"(","routes":[)" + routeText("safe") + "," + routeText("unsafe") + R"(],"services":[{"name":"a"},{"name":"b"}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,)"
                                                                                                                               R"("header_read_limit":"3000ms","idle_limit":"15s"}})");
    m_record.configurations.push_back({ "i-" + service, bootClockNow() });
}

auto soak_run::makeNodes(const std::string& program, const std::string& folder) -> void
{
    for (auto index = uint32_t { 0 }; index < m_settings.nodes; ++index) {
        auto ip = "127.2." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1);
        m_addresses.push_back({ { ip, portOf(1) }, { ip, portOf(2) }, { ip, portOf(3) } });
        auto base = folder + "/node" + std::to_string(index);
        auto created = node {};
        created.storeLink = std::make_unique<fault_link>(m_context, endpoint { "127.0.0.1", m_store.port() });
        created.process = std::make_unique<node_process>(program, base + ".ini", base + ".log");
        m_nodes.push_back(std::move(created));
        writeSettings(index);
    }
}

auto soak_run::writeSettings(uint32_t index) -> void
{
    auto& addresses = m_addresses[index];
    // The value alternates with each new configuration, so that a reload after a new configuration finds a change.
    auto lifetime = m_version % 2 == 0 ? "1s" : "2s";
    // Renames the file into place, so that a node never reads a partial file.
    auto path = m_folder + "/node" + std::to_string(index) + ".ini";
    auto file = std::ofstream(path + ".new");
    file << "[gateway]\nname = n" << 100 + index << "\ndata_centre = a1\nregion = a\ndata_centres = a1:a\ncaller_address = " << formatEndpoint(addresses.callers)
         << "\nreadiness_address = " << formatEndpoint(addresses.readiness) << "\ndirectory_address = " << formatEndpoint(addresses.directory)
         << "\npeer_address = " << addresses.callers.address << ":" << portOf(4) << "\nstop_limit = " << stopLimit.milliseconds() << "ms\n[store]\naddress = "
         << formatEndpoint(m_nodes[index].storeLink->address()) << "\n[directory]\nlifetime = " << lifetime << "\nnodes = 2\n[logs]\nlines_per_second = 500\n";
    file.close();
    std::rename((path + ".new").c_str(), path.c_str());
}

auto soak_run::schedule(time_point time, std::function<void()> run) -> void
{
    m_actions.push_back({ time, std::move(run) });
}

auto soak_run::advance(time_point until) -> void
{
    while (bootClockNow() < until) {
        auto now = bootClockNow();
        // Iterates by index, since actions may schedule others.
        for (auto index = size_t { 0 }; index < m_actions.size();) {
            if (m_actions[index].at > now) {
                ++index;
                continue;
            }
            auto due = std::move(m_actions[index].run);
            m_actions.erase(m_actions.begin() + static_cast<std::ptrdiff_t>(index));
            due();
        }
        for (auto index = uint32_t { 0 }; index < m_nodes.size(); ++index)
            superviseNode(index);
        wait(pollInterval);
    }
}

auto soak_run::superviseNode(uint32_t index) -> void
{
    auto& node = m_nodes[index];
    auto now = bootClockNow();
    auto name = "node " + std::to_string(index);
    if (auto status = node.process->pollExitStatus()) {
        if (!node.isExitExpected)
            m_record.exits.push_back(name + " exited unexpectedly, wait status " + std::to_string(*status));
        else if (node.stopDeadline != never && !WIFSIGNALED(*status) && WEXITSTATUS(*status) != 0)
            m_record.exits.push_back(name + " exited from a shutdown with status " + std::to_string(WEXITSTATUS(*status)));
        node.exitedAt = now;
        node.stopDeadline = never;
        node.startAt = std::max(node.startAt, now + milliseconds(100));
    }
    if (now > node.stopDeadline) {
        m_record.exits.push_back(name + " did not complete its shutdown in time");
        node.stopDeadline = never;
    }
    if (!node.process->isRunning() && !m_isShuttingDown && now >= node.startAt) {
        m_record.nodeOutages.push_back({ index, node.exitedAt, now + startCatchUpTime });
        node.isExitExpected = !node.process->start();
    }
}

auto soak_run::stopNode(uint32_t index) -> void
{
    auto& node = m_nodes[index];
    if (!node.process->isRunning() || node.isExitExpected)
        return;
    node.isExitExpected = true;
    auto deadline = bootClockNow() + stopLimit + stopSlack;
    auto isPaused = [&](auto& entry) { return entry.node == index && entry.until > bootClockNow(); };
    // A pause, or the time to catch up after one or after a start, delays the shutdown, so that no deadline applies.
    node.stopDeadline = std::ranges::any_of(m_record.nodeOutages, isPaused) ? never : deadline;
    node.process->signal(SIGTERM);
}

auto soak_run::awaitReadiness(time_point limit) -> bool
{
    while (bootClockNow() < limit) {
        auto ready = size_t { 0 };
        for (auto& node : m_addresses) {
            auto answer = asio::co_spawn(m_context.get_executor(), fetch(m_context, node.readiness, "/gypsumhub/readyz", bootClockNow() + milliseconds(500)), asio::use_future).get();
            ready += answer.result_int() == 200 ? 1 : 0;
        }
        if (ready == m_addresses.size())
            return true;
        advance(bootClockNow() + milliseconds(100));
    }
    return false;
}

auto soak_run::execute() -> bool
{
    for (auto& node : m_nodes) {
        if (!node.process->start())
            return false;
    }
    if (!awaitReadiness(bootClockNow() + startLimit))
        m_record.exits.push_back("not all nodes were ready " + std::to_string(startLimit.milliseconds()) + " ms after the start");
    for (auto& caller : m_callers)
        asio::co_spawn(m_context.get_executor(), caller->run(), asio::detached);
    auto start = bootClockNow();
    scheduleEvents(start);
    advance(start + m_settings.length + milliseconds(1600));
    if (!awaitReadiness(bootClockNow() + recoveryLimit))
        m_record.exits.push_back("not all nodes were ready " + std::to_string(recoveryLimit.milliseconds()) + " ms after the last event");
    advance(bootClockNow() + settleTime);
    m_record.steadyFrom = bootClockNow();
    advance(bootClockNow() + steadyTime);
    for (auto& caller : m_callers)
        caller->stop();
    advance(bootClockNow() + milliseconds(500));
    stopNodes();
    collect();
    return true;
}

auto soak_run::stopNodes() -> void
{
    m_isShuttingDown = true;
    for (auto index = uint32_t { 0 }; index < m_nodes.size(); ++index)
        stopNode(index);
    advance(bootClockNow() + stopLimit + stopSlack + milliseconds(100));
}

auto soak_run::collect() -> void
{
    m_context.stop();
    m_thread.join();
    m_thread = std::thread([] {});
    for (auto& caller : m_callers)
        m_record.calls.insert(m_record.calls.end(), caller->calls().begin(), caller->calls().end());
    std::ranges::sort(m_record.calls, {}, &soak_call::sentAt);
    for (auto& target : m_targets) {
        for (auto& arrival : target.server->arrivals())
            m_record.arrivals.push_back({ target.server->id(), arrival.requestId, arrival.at, arrival.isRun });
    }
    std::ranges::sort(m_record.arrivals, {}, &soak_record::arrival::at);
}

} // namespace gypsumhub
