#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

namespace gypsumhub {

/// What a message is held for.
enum class memory_use : uint8_t {
    /// An answer, or anything else that no other use covers.
    Message,
    /// A request of a caller, from its first bytes until its answer is written.
    Request,
    /// An answer of the store or of another node, from which this one learns what it needs to serve at all.
    State,
};

/// The memory that bytes received from callers, targets, other nodes and the store may occupy on a node, all together.
///
/// Answers the load of peers that send bytes without end, or large bodies at the same time: each message is bounded, but the sum of
/// them would exceed the memory of the machine. Large messages leave a part of the memory to small ones, so that many small requests
/// are served beside a few large ones. Requests leave a part to the answers of those that are at work, since a request can wait for memory
/// and the answer to one that has run cannot. State can always use what is free.
class buffer_budget {
public:
    /// A limit in bytes.
    explicit buffer_budget(size_t limit)
        : m_limit(limit)
    {
    }

    buffer_budget(const buffer_budget&) = delete;
    auto operator=(const buffer_budget&) -> buffer_budget& = delete;

    /// The bytes that one message occupies, returned to the budget when it is destroyed.
    class reservation {
    public:
        /// Has no budget, so that it reserves nothing.
        reservation() = default;
        explicit reservation(buffer_budget& budget, memory_use use = memory_use::Message)
            : m_budget(&budget)
            , m_use(use)
        {
        }
        reservation(reservation&& other) noexcept
            : m_budget(other.m_budget)
            , m_use(other.m_use)
            , m_bytes(std::exchange(other.m_bytes, 0))
        {
        }
        auto operator=(reservation&& other) noexcept -> reservation&
        {
            std::swap(m_budget, other.m_budget);
            std::swap(m_use, other.m_use);
            std::swap(m_bytes, other.m_bytes);
            return *this;
        }
        ~reservation() { resize(0); }

        /// Sets the occupied bytes. Returns false, without a change, when the budget does not allow them.
        auto resize(size_t bytes) -> bool
        {
            if (bytes > m_bytes && !(m_budget && m_budget->allows(m_use, m_bytes, bytes)))
                return false;
            if (m_budget)
                m_budget->replace(m_use, m_bytes, bytes);
            m_bytes = bytes;
            return true;
        }

    private:
        buffer_budget* m_budget { nullptr };
        memory_use m_use { memory_use::Message };
        size_t m_bytes { 0 };
    };

    /// Whether one message of this size fits while no other bytes are held.
    auto canHold(size_t bytes) const -> bool { return bytes <= limitFor(bytes); }
    auto used() const -> size_t { return m_used; }
    auto limit() const -> size_t { return m_limit; }
    /// How often bytes were not allowed.
    auto refusals() const -> uint64_t { return m_refusals; }

    /// Larger messages leave a part of the memory to those of at most this size.
    static constexpr auto maxSmallBytes = size_t { 256 * 1024 };

private:
    /// What the requests of one size hold.
    struct request_total {
        size_t bytes { 0 };
        size_t count { 0 };
    };

    static auto isLarge(size_t bytes) -> bool { return bytes > maxSmallBytes; }
    auto limitFor(size_t bytes) const -> size_t { return isLarge(bytes) ? m_limit - m_limit / 8 : m_limit; }
    auto requests(size_t bytes) -> request_total& { return isLarge(bytes) ? m_largeRequests : m_smallRequests; }

    auto allows(memory_use use, size_t before, size_t bytes) -> bool
    {
        auto isAllowed = m_used - before + bytes <= (use == memory_use::State ? m_limit : limitFor(bytes));
        if (isAllowed && use == memory_use::Request) {
            replaceRequest(before, bytes);
            isAllowed = isShareKept(bytes);
            replaceRequest(bytes, before);
        }
        m_refusals += isAllowed ? 0 : 1;
        return isAllowed;
    }

    /// Whether the requests, one of which holds `bytes`, leave enough to answers. One large request is always received, and small ones
    /// beside it.
    auto isShareKept(size_t bytes) const -> bool
    {
        if (isLarge(bytes))
            return m_largeRequests.count == 1 || m_largeRequests.bytes <= m_limit / 8 * 5;
        return m_smallRequests.bytes <= m_limit / 8 || m_smallRequests.bytes + m_largeRequests.bytes <= m_limit / 8 * 6;
    }

    auto replace(memory_use use, size_t before, size_t bytes) -> void
    {
        m_used = m_used - before + bytes;
        if (use == memory_use::Request)
            replaceRequest(before, bytes);
    }

    auto replaceRequest(size_t before, size_t bytes) -> void
    {
        auto& left = requests(before);
        left.bytes -= before;
        left.count -= before > 0 ? 1 : 0;
        auto& joined = requests(bytes);
        joined.bytes += bytes;
        joined.count += bytes > 0 ? 1 : 0;
    }

    size_t m_limit;
    size_t m_used { 0 };
    request_total m_smallRequests;
    request_total m_largeRequests;
    uint64_t m_refusals { 0 };
};

} // namespace gypsumhub
