#pragma once

#include "fakes/schedule.h"
#include "gypsumhub/decision/attempt_report.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// What a modelled target does with one request.
struct modelled_exchange {
    attempt_result result { attempt_result::Success };
    /// When the target's last byte leaves it; `never` when none comes.
    time_point endsAt;
    /// Whether the request takes effect.
    bool ran { false };
    /// Whether the request holds one of the target's slots until `endsAt`.
    bool holdsSlot { false };
};

/// One target VM in virtual time: slots, a heavy-tailed service time, and the faults of a schedule.
class target_model {
public:
    target_model(uint16_t slots, uint64_t seed);

    /// Takes one request that arrives at `now`, under the target's faults that hold then. `pathCut` means that the caller's
    /// node gets no answer. A request that finds every slot taken is shed.
    auto take(time_point now, std::span<const fault_kind> faults, bool pathCut) -> modelled_exchange;

    /// Answers a health probe; a gray failure does not show in it.
    auto probe(time_point now, std::span<const fault_kind> faults, bool pathCut) const -> modelled_exchange;

    /// A request that held a slot ended.
    auto release() -> void;

    /// Requests taken in and those shed for want of a slot.
    uint64_t taken { 0 };
    uint64_t shed { 0 };

private:
    auto drawServiceTime() -> duration;

    random_generator m_random;
    uint16_t m_slots;
    uint16_t m_busy { 0 };
};

} // namespace gypsumhub
