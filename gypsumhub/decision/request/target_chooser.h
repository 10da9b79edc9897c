#pragma once

#include "gypsumhub/decision/request/slot_lease.h"
#include "gypsumhub/decision/routing_snapshot.h"

#include <cstdint>
#include <optional>
#include <span>

namespace gypsumhub {

/// Constraints of one request for the choice of its target.
struct target_query {
    /// Targets that this request has already tried.
    std::span<const vm_key> excluded;
    /// Whether the request may run twice; only such requests are sent to targets on trial.
    bool idempotent { false };
    /// A new random number; spreads the choices of nodes and threads that read equal loads.
    uint64_t random { 0 };
    /// Whether a slot beyond this node's own share may be taken, see `borrow_gate`.
    bool mayBorrow { false };
};

/// A chosen target and the lease of a slot there.
struct chosen_target {
    vm_key key;
    endpoint address;
    /// The target is on trial.
    bool trial { false };
    /// The slot belongs to another member; the target may shed the request.
    bool borrowed { false };
    slot_lease lease;
};

/// Chooses the target for one attempt and takes a slot there, or returns nothing when no target that the query allows has a free
/// slot. Thread-safe.
///
/// Prefers targets of the own region with the least requests in flight for their weight, plus their lead in virtual time
/// (weighted fair queueing). The lead prevents a target that fails fast from attracting more than its share; a suspected target
/// that is far ahead gets no request. A slot is borrowed only when no own slot is free in the region, and targets of another
/// region are used only when the own region has neither.
auto chooseTarget(const service_view&, const target_query&) -> std::optional<chosen_target>;

/// Free slots of this node at all targets that may get requests.
auto freeSlots(const service_view&) -> uint32_t;

/// Slots of this node at all targets that may get requests, free or not.
auto totalSlots(const service_view&) -> uint32_t;

} // namespace gypsumhub
