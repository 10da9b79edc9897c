#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

namespace gypsumhub {

/// The memory that bytes received from callers, targets, other nodes and the store may occupy on a node, all together.
///
/// Answers the load of peers that send bytes without end, or large bodies at the same time: each message is bounded, but the sum of
/// them would exceed the memory of the machine. Large messages leave a part of the memory to small ones, so that many small requests
/// are served beside a few large ones.
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
        explicit reservation(buffer_budget& budget)
            : m_budget(&budget)
        {
        }
        reservation(reservation&& other) noexcept
            : m_budget(other.m_budget)
            , m_bytes(std::exchange(other.m_bytes, 0))
        {
        }
        auto operator=(reservation&& other) noexcept -> reservation&
        {
            std::swap(m_budget, other.m_budget);
            std::swap(m_bytes, other.m_bytes);
            return *this;
        }
        ~reservation() { resize(0); }

        /// Sets the occupied bytes. Returns false, without a change, when the budget does not allow them.
        auto resize(size_t bytes) -> bool
        {
            if (bytes > m_bytes && !(m_budget && m_budget->allows(m_budget->m_used - m_bytes + bytes, bytes)))
                return false;
            if (m_budget)
                m_budget->m_used = m_budget->m_used - m_bytes + bytes;
            m_bytes = bytes;
            return true;
        }

    private:
        buffer_budget* m_budget { nullptr };
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
    auto limitFor(size_t bytes) const -> size_t { return bytes > maxSmallBytes ? m_limit - m_limit / 8 : m_limit; }

    auto allows(size_t total, size_t bytes) -> bool
    {
        auto isAllowed = total <= limitFor(bytes);
        m_refusals += isAllowed ? 0 : 1;
        return isAllowed;
    }

    size_t m_limit;
    size_t m_used { 0 };
    uint64_t m_refusals { 0 };
};

} // namespace gypsumhub
