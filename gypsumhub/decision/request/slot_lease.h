#pragma once

#include "gypsumhub/decision/target_load.h"

#include <memory>
#include <utility>

namespace gypsumhub {

/// Owns one slot of a target for one request; releases the slot when destroyed. Movable between threads, not copyable.
class slot_lease {
public:
    slot_lease() = default;

    /// Takes ownership of a slot that is already counted in `load->inFlight`.
    explicit slot_lease(std::shared_ptr<target_load> load)
        : m_load(std::move(load))
    {
    }

    slot_lease(slot_lease&&) noexcept = default;
    slot_lease(const slot_lease&) = delete;
    auto operator=(const slot_lease&) -> slot_lease& = delete;
    ~slot_lease() { release(); }

    auto operator=(slot_lease&& other) noexcept -> slot_lease&
    {
        if (this != &other) {
            release();
            m_load = std::move(other.m_load);
        }
        return *this;
    }

    /// Releases the slot; later calls do nothing.
    auto release() -> void
    {
        if (auto load = std::exchange(m_load, nullptr))
            load->inFlight.fetch_sub(1, std::memory_order_release);
    }

    /// Whether a slot is held.
    explicit operator bool() const { return m_load != nullptr; }

private:
    std::shared_ptr<target_load> m_load;
};

} // namespace gypsumhub
