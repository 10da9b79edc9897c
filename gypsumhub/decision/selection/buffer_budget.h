#pragma once

#include <cstddef>

namespace gypsumhub {

/// The memory that answers of targets may occupy on a node while they are received.
///
/// Answers the load of targets that send bytes without end: each answer is bounded, but a few dozen of them at the same time would
/// exceed the memory of a small machine.
class buffer_budget {
public:
    explicit buffer_budget(size_t limit)
        : m_limit(limit)
    {
    }

    /// The bytes that one answer occupies, returned to the budget when it is destroyed.
    class reservation {
    public:
        explicit reservation(buffer_budget& budget)
            : m_budget(budget)
        {
        }
        ~reservation() { m_budget.m_used -= m_bytes; }
        reservation(const reservation&) = delete;
        auto operator=(const reservation&) -> reservation& = delete;

        /// Sets the occupied bytes. Returns false, without a change, when the budget does not allow them.
        auto resize(size_t bytes) -> bool
        {
            if (bytes > m_bytes && m_budget.m_used + (bytes - m_bytes) > m_budget.m_limit)
                return false;
            m_budget.m_used = m_budget.m_used - m_bytes + bytes;
            m_bytes = bytes;
            return true;
        }

    private:
        buffer_budget& m_budget;
        size_t m_bytes { 0 };
    };

    auto used() const -> size_t { return m_used; }

private:
    size_t m_limit;
    size_t m_used { 0 };
};

} // namespace gypsumhub
