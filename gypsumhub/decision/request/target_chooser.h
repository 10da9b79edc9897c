#pragma once

#include "gypsumhub/decision/request/slot_lease.h"
#include "gypsumhub/decision/routing_snapshot.h"

#include <cstdint>
#include <optional>
#include <span>

namespace gypsumhub {

/// What a request asks of the choice of its target.
struct target_query {
    /// Targets that this request has already tried.
    std::span<const vm_key> excluded;
    /// Whether the request may run twice; only such requests go to targets on trial.
    bool idempotent { false };
    /// A fresh random number; spreads the choices of nodes and threads that see equal loads.
    uint64_t random { 0 };
    /// Whether a slot beyond this node's own share may be taken, see `borrow_gate`.
    bool mayBorrow { false };
};

/// A target and the slot held there.
struct chosen_target {
    vm_key key;
    endpoint address;
    /// The target is on trial.
    bool trial { false };
    /// The slot belongs to another member; the target may shed the request.
    bool borrowed { false };
    slot_lease lease;
};

/// Chooses the target for one attempt and takes a slot there, or returns nothing when no target that the query allows has
/// a free slot. Among targets of the own region: least work in flight for its weight together with its lead in turns, so that a
/// target that fails fast draws no more than its turns; a suspect that is far ahead waits;
/// a borrowed slot only when no own slot is free there; targets of the other region only when the own region has neither. Any
/// number of threads may call this at once.
auto chooseTarget(const service_view&, const target_query&) -> std::optional<chosen_target>;

/// Requests that this node may still start at once: free slots over all targets that can take work.
auto freeSlots(const service_view&) -> uint32_t;

/// Slots of this node over all targets that can take work, free or not.
auto totalSlots(const service_view&) -> uint32_t;

} // namespace gypsumhub
