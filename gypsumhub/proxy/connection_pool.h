#pragma once

#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/proxy/proxy_context.h"
#include "gypsumhub/proxy/target_connection.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace gypsumhub {

/// Pools the idle connections of one request thread by target or peer and limits the connections to each. Used only by that
/// thread.
class connection_pool {
public:
    connection_pool(const proxy_context&, asio::io_context&);

    /// Returns an idle connection that was checked to be open, or a new unconnected one, or null when the thread already has
    /// `share` connections in use for this key. `requireFresh` accepts only connections used within `freshLimit`.
    auto acquire(uint64_t key, uint32_t share, bool requireFresh) -> std::shared_ptr<target_connection>;

    /// Returns a connection to the pool for reuse, after a complete exchange.
    auto release(uint64_t key, std::shared_ptr<target_connection>) -> void;

    /// Closes a connection that must not be reused.
    auto discard(uint64_t key, const std::shared_ptr<target_connection>&) -> void;

    /// Closes the idle connections to one target or peer.
    auto closeIdle(uint64_t key) -> void;

    /// Closes idle connections that have expired or are no longer open.
    auto closeExpired() -> void;

    auto idleCount(uint64_t key) const -> size_t;

private:
    // Connections to one target or peer; `idle` is ordered from the least to the most recently used.
    struct entry {
        std::vector<std::shared_ptr<target_connection>> idle;
        uint32_t inUse { 0 };
    };

    const proxy_context& m_context;
    asio::io_context& m_ioContext;
    std::unordered_map<uint64_t, entry> m_entries;
};

} // namespace gypsumhub
