#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string>

namespace gypsumhub {

/// What a target says of itself in the store.
struct target_registration {
    std::string id;
    std::string service;
    endpoint address;
    std::string dataCentre;
    /// Requests that the target runs at once.
    uint32_t slots { 1 };
    /// A draining target finishes what it has and takes nothing new.
    bool isDraining { false };
    /// When the target will have warmed up, by the boot-time clock of this node.
    time_point warmedUpAt {};
    /// Unix milliseconds of the start of this incarnation; 0 when not given. Another value under the same id is another VM.
    uint64_t incarnation { 0 };
    /// Store revision of the entry.
    uint64_t revision { 0 };

    /// Whether two registrations differ in what routing depends on.
    auto hasSameRouting(const target_registration& other) const -> bool
    {
        return service == other.service && address == other.address && dataCentre == other.dataCentre && slots == other.slots
            && isDraining == other.isDraining && incarnation == other.incarnation;
    }
};

} // namespace gypsumhub
