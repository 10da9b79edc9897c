#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/request/admission_queue.h"
#include "gypsumhub/decision/request/target_chooser.h"
#include "gypsumhub/proxy/proxy_context.h"
#include "gypsumhub/proxy/request_cancellation.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>

namespace gypsumhub {

/// An acquired slot with the snapshot from which its target was chosen, or the code of the refusal.
struct slot_grant {
    result_code code { result_code::Ok };
    /// Set when `code` is `Ok`.
    std::optional<chosen_target> target;
    std::shared_ptr<const routing_snapshot> snapshot;
    /// Owned by `snapshot`; null when the service is unknown.
    const service_view* service { nullptr };
};

/// A request's constraints on the target of its slot.
struct slot_query {
    std::span<const vm_key> excluded;
    bool idempotent { false };
    time_point deadline;
};

/// Admission queue of one service on one request thread. Requests wait here for a free slot at a target.
class slot_queue {
public:
    /// `thread` is the index of the request thread that owns the queue.
    slot_queue(proxy_context&, asio::io_context&, service_key, uint32_t thread, uint64_t seed);

    /// Waits until a target has a free slot, the deadline can no longer be met, or the caller disconnects.
    auto acquire(slot_query, request_cancellation&) -> task<slot_grant>;

    /// Releases a slot that was acquired at `since` (steady clock) and wakes the next waiting request, or notifies the other
    /// threads if none waits on this one.
    auto release(slot_lease, time_point since) -> void;

    /// Wakes as many waiting requests as there are free slots, and refuses expired ones.
    auto wakeWaiters() -> void;

    auto sharedState() -> service_shared_state& { return m_sharedState; }
    auto hasWaiters() const -> bool { return m_queue.size() > 0; }

private:
    // A waiting request; cancelling the timer wakes it with `code`.
    struct waiter {
        steady_timer timer;
        result_code code { result_code::Ok };
    };

    auto refreshView(slot_grant&, const slot_query&) const -> result_code;
    auto waitForSlot(const slot_query&, request_cancellation&, uint32_t slots) -> task<result_code>;
    auto wake(admission_queue::waiter_id, result_code) -> void;

    proxy_context& m_context;
    asio::io_context& m_ioContext;
    service_key m_service;
    uint32_t m_thread;
    service_shared_state& m_sharedState;
    random_generator m_random;
    admission_queue m_queue;
    std::unordered_map<admission_queue::waiter_id, std::shared_ptr<waiter>> m_waiters;
    admission_queue::waiter_id m_nextWaiter { 1 };
};

} // namespace gypsumhub
