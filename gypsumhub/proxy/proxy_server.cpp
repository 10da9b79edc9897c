#include "gypsumhub/proxy/proxy_server.h"

#include "gypsumhub/proxy/proxy_context.h"
#include "gypsumhub/proxy/request_worker.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <vector>

namespace gypsumhub {

namespace {

    constexpr auto listenBacklog = 4096;
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);
    constexpr auto shutdownCheckInterval = std::chrono::milliseconds(20);

    auto makeAddressFault(result_code code, const endpoint& address, const error_code& error) -> fault
    {
        auto text = address.address + ":" + std::to_string(address.port);
        return { code, "cannot listen on " + text + ": " + error.message(), {}, 0, "use an address of this machine and a free port" };
    }

} // namespace

/// Workers and acceptor of a server. The first worker's event loop accepts connections and runs the shutdown.
struct proxy_server::implementation {
    implementation(proxy_server_settings initialSettings, const rcu_cell<routing_snapshot>& snapshot, attempt_listener& attempts, claim_port& claims)
        : settings(std::move(initialSettings))
        , context { settings, snapshot, attempts, claims, counters, nullptr }
    {
        settings.requestThreads = std::max<uint32_t>(settings.requestThreads, 1);
        for (auto index = uint32_t { 0 }; index < settings.requestThreads; ++index)
            workers.push_back(std::make_unique<request_worker>(context, index));
        context.notifyFreeSlot = [this](service_key service, uint32_t freedBy) {
            for (auto index = uint32_t { 0 }; index < workers.size(); ++index)
                if (index != freedBy)
                    workers[index]->wakeWaiters(service);
        };
    }

    ~implementation()
    {
        // All event loops stop before any worker is destroyed, because workers call each other.
        for (auto& worker : workers)
            worker->stop();
        for (auto& worker : workers)
            worker->join();
        context.loopsStopped = true;
        if (acceptor) {
            auto ignored = error_code {};
            acceptor->close(ignored);
        }
        for (auto& worker : workers)
            worker->drain();
        acceptor.reset();
    }

    auto openSpanLog() -> leaf::result<void>;
    auto listen() -> leaf::result<void>;
    auto acceptLoop() -> task<>;
    auto shutdownLoop(time_point acceptUntil, time_point shutdownDeadline) -> task<>;
    auto acceptUntil(time_point shutdownDeadline) const -> time_point;

    proxy_server_settings settings;
    proxy_counters counters;
    proxy_context context;
    std::vector<std::unique_ptr<request_worker>> workers;
    std::optional<tcp_acceptor> acceptor;
    uint16_t port { 0 };
};

auto proxy_server::implementation::openSpanLog() -> leaf::result<void>
{
    if (settings.spanLog.empty())
        return {};
    auto tracer = std::make_shared<span_tracer>(settings.spanLog);
    if (!tracer->isOpen())
        return failWith({ result_code::FileUnreadable, "cannot open the span log for writing", settings.spanLog, 0, "set the path of a writable file, or leave the setting empty" });
    context.tracer = std::move(tracer);
    return {};
}

auto proxy_server::implementation::listen() -> leaf::result<void>
{
    auto error = error_code {};
    auto number = asio::ip::make_address(settings.callerAddress.address, error);
    if (error)
        return failWith(makeAddressFault(result_code::SettingsInvalid, settings.callerAddress, error));
    auto local = tcp::endpoint(number, settings.callerAddress.port);
    acceptor.emplace(workers.front()->ioContext());
    acceptor->open(local.protocol(), error);
    if (!error)
        acceptor->set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor->bind(local, error);
    if (!error)
        acceptor->listen(listenBacklog, error);
    if (error)
        return failWith(makeAddressFault(result_code::AddressInUse, settings.callerAddress, error));
    port = acceptor->local_endpoint().port();
    return {};
}

auto proxy_server::implementation::acceptLoop() -> task<>
{
    auto timer = steady_timer(workers.front()->ioContext());
    for (auto next = size_t { 0 }; acceptor->is_open(); ++next) {
        auto& worker = *workers[next % workers.size()];
        auto [error, socket] = co_await acceptor->async_accept(worker.ioContext(), useTask);
        if (!error) {
            increment(counters.connectionsOpen);
            worker.addConnection(std::move(socket));
            continue;
        }
        // Out of file descriptors, or the caller disconnected before it was accepted.
        timer.expires_after(acceptRetryDelay);
        co_await timer.async_wait(useTask);
    }
}

auto proxy_server::implementation::acceptUntil(time_point shutdownDeadline) const -> time_point
{
    // Other nodes list this one until they are notified of the shutdown; callers use their last answers for the answer lifetime.
    auto now = context.now();
    auto advertised = time_point { context.advertisedUntil.load() };
    auto desired = std::max(advertised, now + settings.shutdownPropagationLimit + settings.answerLifetime);
    // Half of the remaining time is reserved for the requests in flight.
    auto latest = now + std::max(shutdownDeadline - now, duration {}) / 2;
    return std::min(desired, latest);
}

auto proxy_server::implementation::shutdownLoop(time_point acceptUntil, time_point shutdownDeadline) -> task<>
{
    auto timer = steady_timer(workers.front()->ioContext());
    while (true) {
        auto now = context.now();
        auto open = counters.connectionsOpen.load();
        if (now >= acceptUntil && acceptor->is_open()) {
            auto ignored = error_code {};
            acceptor->close(ignored);
            context.closing = true;
        }
        if (context.closing)
            for (auto& worker : workers)
                worker->closeIdleSessions();
        if (now >= shutdownDeadline || context.loopsStopped || (context.closing && open == 0))
            break;
        timer.expires_after(shutdownCheckInterval);
        co_await timer.async_wait(useTask);
    }
    for (auto& worker : workers)
        worker->stop();
}

proxy_server::proxy_server(
    proxy_server_settings settings, const rcu_cell<routing_snapshot>& snapshot, attempt_listener& attempts, claim_port& claims)
    : m_implementation(std::make_unique<implementation>(std::move(settings), snapshot, attempts, claims))
{
}

proxy_server::~proxy_server() = default;

auto proxy_server::start() -> leaf::result<void>
{
    auto& server = *m_implementation;
    BOOST_LEAF_CHECK(server.openSpanLog());
    BOOST_LEAF_CHECK(server.listen());
    asio::co_spawn(server.workers.front()->ioContext(), server.acceptLoop(), asio::detached);
    for (auto& worker : server.workers)
        worker->start();
    return {};
}

auto proxy_server::port() const -> uint16_t
{
    return m_implementation->port;
}

auto proxy_server::beginShutdown(time_point shutdownDeadline) -> void
{
    auto& server = *m_implementation;
    if (server.context.stopping.exchange(true))
        return;
    auto until = server.acceptUntil(shutdownDeadline);
    asio::co_spawn(server.workers.front()->ioContext(), server.shutdownLoop(until, shutdownDeadline), asio::detached);
}

auto proxy_server::join() -> void
{
    for (auto& worker : m_implementation->workers)
        worker->join();
}

auto proxy_server::closeIdleConnections(vm_key target) -> void
{
    for (auto& worker : m_implementation->workers)
        worker->closeIdleConnections(target.value);
}

auto proxy_server::counters() const -> const proxy_counters&
{
    return m_implementation->counters;
}

} // namespace gypsumhub
