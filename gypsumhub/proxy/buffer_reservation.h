#pragma once

#include "gypsumhub/proxy/proxy_context.h"

#include <cstdint>

namespace gypsumhub {

/// Reserves buffer memory for one request against the server's `maxBufferedBytes`; releases it when destroyed.
class buffer_reservation {
public:
    explicit buffer_reservation(const proxy_context& context)
        : m_context(context)
    {
    }

    buffer_reservation(const buffer_reservation&) = delete;
    auto operator=(const buffer_reservation&) -> buffer_reservation& = delete;
    ~buffer_reservation() { m_context.bufferedBytes.fetch_sub(m_bytes, std::memory_order_relaxed); }

    /// Grows the reservation to `bytes`; false, with the reservation unchanged, when the server's limit would be exceeded.
    auto growTo(uint64_t bytes) -> bool
    {
        if (bytes <= m_bytes)
            return true;
        auto more = bytes - m_bytes;
        if (m_context.bufferedBytes.fetch_add(more, std::memory_order_relaxed) + more > m_context.settings.maxBufferedBytes) {
            m_context.bufferedBytes.fetch_sub(more, std::memory_order_relaxed);
            return false;
        }
        m_bytes = bytes;
        return true;
    }

private:
    const proxy_context& m_context;
    uint64_t m_bytes { 0 };
};

} // namespace gypsumhub
