#pragma once

#include "fakes/schedule.h"
#include "gypsumhub/decision/attempt_report.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// How a simulated target handles one request.
struct modelled_exchange {
    attempt_result result { attempt_result::Success };
    /// When the target sends the last byte of its answer, or `never`.
    time_point endsAt;
    /// Whether the request takes effect.
    bool ran { false };
    /// Whether the request holds one of the target's slots until `endsAt`.
    bool holdsSlot { false };
};

/// A simulated target VM in virtual time with slots, a heavy-tailed service time, and the faults of a schedule.
class target_model {
public:
    target_model(uint16_t slots, uint64_t seed);

    /// Handles a request that arrives at `now` under the given faults. `pathCut` means that the sending node gets no answer.
    /// A request is shed when all slots are in use.
    auto accept(time_point now, std::span<const fault_kind> faults, bool pathCut) -> modelled_exchange;

    /// Answers a health check, which does not detect gray failures.
    auto probe(time_point now, std::span<const fault_kind> faults, bool pathCut) const -> modelled_exchange;

    /// Releases the slot of a request that has ended.
    auto release() -> void;

    /// Number of accepted requests, and of requests shed because all slots were in use.
    uint64_t accepted { 0 };
    uint64_t shed { 0 };

private:
    auto drawServiceTime() -> duration;

    random_generator m_random;
    uint16_t m_slots;
    uint16_t m_busy { 0 };
};

} // namespace gypsumhub
