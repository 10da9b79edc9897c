#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/proxy/proxy_context.h"
#include "gypsumhub/proxy/target_connection.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace gypsumhub {

/// Idle connections of one request thread, by target or peer. Bounds the connections that the thread holds to each.
class connection_pool {
public:
    connection_pool(const proxy_context&, asio::io_context&);

    /// An idle connection that is checked to be open, or a new one that is not connected yet, or null when the thread
    /// already has `share` connections in use there. `fresh` asks for one that is new or was used very recently.
    auto acquire(uint64_t key, uint32_t share, bool requireFresh) -> std::shared_ptr<target_connection>;

    /// Takes back a connection whose exchange was complete and may be followed by another.
    auto release(uint64_t key, std::shared_ptr<target_connection>) -> void;

    /// Forgets a connection that must not be used again.
    auto discard(uint64_t key, const std::shared_ptr<target_connection>&) -> void;

    /// Closes the idle connections to one target.
    auto closeIdle(uint64_t key) -> void;

    /// Closes idle connections whose time has passed.
    auto closeExpired() -> void;

    auto idleCount(uint64_t key) const -> size_t;

private:
    struct entry {
        std::vector<std::shared_ptr<target_connection>> idle;
        uint32_t inUse { 0 };
    };

    const proxy_context& m_context;
    asio::io_context& m_ioContext;
    std::unordered_map<uint64_t, entry> m_entries;
};

} // namespace gypsumhub
