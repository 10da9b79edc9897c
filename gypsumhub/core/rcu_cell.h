#pragma once

#include "gypsumhub/core/rcu_domain.h"

#include <atomic>
#include <memory>
#include <utility>

namespace gypsumhub {

/// Holds the current version of an immutable object under RCU. Readers take no lock; writers wait until no reader uses the holder of
/// the old version.
template <typename T>
class rcu_cell {
public:
    explicit rcu_cell(std::shared_ptr<const T> initial = nullptr)
        : m_current(new holder { std::move(initial) })
    {
    }

    rcu_cell(const rcu_cell&) = delete;
    auto operator=(const rcu_cell&) -> rcu_cell& = delete;

    ~rcu_cell() { delete m_current.load(std::memory_order_acquire); }

    /// The current version. Thread-safe; the result stays valid while the pointer exists.
    auto load() const -> std::shared_ptr<const T>
    {
        auto guard = rcu_read_guard {};
        return m_current.load(std::memory_order_acquire)->value;
    }

    /// Replaces the version. Blocks until no reader uses the old holder, so it must not be called from a request thread.
    auto store(std::shared_ptr<const T> next) -> void
    {
        auto* previous = m_current.exchange(new holder { std::move(next) }, std::memory_order_acq_rel);
        rcuSynchronize();
        delete previous;
    }

private:
    /// One version; deleted after a grace period.
    struct holder {
        std::shared_ptr<const T> value;
    };

    std::atomic<holder*> m_current;
};

} // namespace gypsumhub
