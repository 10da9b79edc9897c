#include "gypsumhub/proxy/request_worker.h"

#include "gypsumhub/proxy/caller_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <exception>

namespace gypsumhub {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(50);
    constexpr auto ticksBetweenSweeps = 20;
    constexpr auto drainLimit = std::chrono::seconds(2);

} // namespace

request_worker::request_worker(proxy_context& context, uint32_t index)
    : m_context(context)
    , m_ioContext(std::make_shared<asio::io_context>(1))
    , m_work(m_ioContext->get_executor())
    , m_resources(context, m_ioContext, index)
{
}

request_worker::~request_worker()
{
    stop();
    join();
    drain();
}

auto request_worker::start() -> void
{
    asio::co_spawn(*m_ioContext, tick(), asio::detached);
    m_thread = std::thread([this] {
        while (!m_ioContext->stopped()) {
            try {
                m_ioContext->run();
            } catch (const std::exception&) {
                // A handler failed, for example out of memory. The loop continues for the other connections.
                m_context.counters.countResult(result_code::Internal);
            }
        }
    });
}

auto request_worker::stop() -> void
{
    m_ioContext->stop();
}

auto request_worker::join() -> void
{
    if (m_thread.joinable())
        m_thread.join();
}

auto request_worker::drain() -> void
{
    m_work.reset();
    m_sessions.closeAll();
    m_ioContext->restart();
    m_ioContext->run_for(drainLimit);
}

auto request_worker::addConnection(tcp_socket socket) -> void
{
    asio::post(*m_ioContext, [this, socket = std::move(socket)]() mutable { serveConnection(std::move(socket)); });
}

auto request_worker::closeIdleSessions() -> void
{
    asio::post(*m_ioContext, [this] { m_sessions.closeIdle(); });
}

auto request_worker::closeIdleConnections(uint64_t key) -> void
{
    asio::post(*m_ioContext, [this, key] { m_resources.pool.closeIdle(key); });
}

auto request_worker::wakeWaiters(service_key service) -> void
{
    asio::post(*m_ioContext, [this, service] { m_resources.queueOf(service).wakeWaiters(); });
}

auto request_worker::serveConnection(tcp_socket socket) -> void
{
    auto& settings = m_context.settings;
    auto share = std::max<size_t>(1, settings.maxConnections / std::max<uint32_t>(settings.requestThreads, 1));
    auto isFull = m_sessions.size() >= share;
    if (isFull && m_sessions.evictOldest()) {
        increment(m_context.counters.connectionsEvicted);
        isFull = false;
    }
    increment(m_context.counters.connectionsAccepted);
    auto session = std::make_shared<caller_session>(std::move(socket), m_resources, m_sessions);
    auto work = isFull ? session->refuse() : session->run();
    asio::co_spawn(*m_ioContext, std::move(work), [session](const std::exception_ptr&) {});
}

auto request_worker::tick() -> task<>
{
    auto timer = steady_timer(*m_ioContext);
    for (auto round = 0; !m_context.loopsStopped; ++round) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(useTask);
        m_resources.wakeAllWaiters();
        if (round % ticksBetweenSweeps == 0)
            m_resources.pool.closeExpired();
    }
}

} // namespace gypsumhub
