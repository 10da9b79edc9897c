#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/proxy/connection_pool.h"
#include "gypsumhub/proxy/proxy_context.h"
#include "gypsumhub/proxy/slot_queue.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace gypsumhub {

/// State that the requests of one request thread share. Used only by that thread.
class thread_resources {
public:
    thread_resources(proxy_context& context, std::shared_ptr<asio::io_context> ioContext, uint32_t thread)
        : context(context)
        , ioContext(std::move(ioContext))
        , thread(thread)
        , random(context.settings.seed * 0x9e3779b97f4a7c15 + thread)
        , pool(context, *this->ioContext)
    {
    }

    /// Returns the queue of a service; creates it on first use.
    auto queueOf(service_key service) -> slot_queue&
    {
        auto& queue = m_queues[service.value];
        if (!queue)
            queue = std::make_unique<slot_queue>(context, *ioContext, service, thread, random());
        return *queue;
    }

    /// Wakes waiting requests of all services, after changes that come without a released slot.
    auto wakeAllWaiters() -> void
    {
        for (auto& [key, queue] : m_queues)
            queue->wakeWaiters();
    }

    proxy_context& context;
    std::shared_ptr<asio::io_context> ioContext;
    uint32_t thread;
    random_generator random;
    connection_pool pool;

private:
    std::unordered_map<uint64_t, std::unique_ptr<slot_queue>> m_queues;
};

} // namespace gypsumhub
