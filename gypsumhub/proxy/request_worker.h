#pragma once

#include "gypsumhub/proxy/session_registry.h"
#include "gypsumhub/proxy/thread_resources.h"

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <optional>
#include <thread>

namespace gypsumhub {

/// A request thread with its event loop and the connections that it serves.
class request_worker {
public:
    request_worker(proxy_context&, uint32_t index);
    ~request_worker();
    request_worker(const request_worker&) = delete;
    auto operator=(const request_worker&) -> request_worker& = delete;

    auto start() -> void;
    /// Stops the event loop without waiting for requests. Any thread may call it.
    auto stop() -> void;
    auto join() -> void;
    /// Cancels the remaining sessions and runs their handlers, so that nothing refers to the worker afterwards. Must be called
    /// after `join`.
    auto drain() -> void;

    auto ioContext() -> asio::io_context& { return *m_ioContext; }

    /// Serves a connection whose socket uses this worker's event loop. Any thread may call it.
    auto addConnection(tcp_socket) -> void;
    /// Closes callers' connections on which no byte of a request has arrived. Any thread may call it.
    auto closeIdleSessions() -> void;
    /// Closes the idle connections to a target. Any thread may call it.
    auto closeIdleConnections(uint64_t key) -> void;
    /// Wakes requests that wait for a slot of the service. Any thread may call it.
    auto wakeWaiters(service_key) -> void;

private:
    auto serveConnection(tcp_socket) -> void;
    auto tick() -> task<>;

    proxy_context& m_context;
    std::shared_ptr<asio::io_context> m_ioContext;
    std::optional<asio::executor_work_guard<io_executor>> m_work;
    thread_resources m_resources;
    session_registry m_sessions;
    std::thread m_thread;
};

} // namespace gypsumhub
