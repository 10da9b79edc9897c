#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string>

namespace gypsumhub {

/// The entry that a target publishes about itself in the store.
struct target_registration {
    std::string id;
    std::string service;
    endpoint address;
    std::string dataCentre;
    /// Requests that the target runs concurrently.
    uint32_t slots { 1 };
    /// A draining target finishes its current requests and accepts no new ones.
    bool isDraining { false };
    /// End of the target's warm-up, by the boot-time clock of this node.
    time_point warmedUpAt {};
    /// Start of this incarnation in Unix milliseconds; 0 when not given. Another value under the same id means another VM.
    uint64_t incarnation { 0 };
    /// Position of the entry in the history of the store (core/store_position.h).
    uint64_t revision { 0 };

    /// Whether `other` is equal in all fields that routing depends on.
    auto hasSameRouting(const target_registration& other) const -> bool
    {
        return service == other.service && address == other.address && dataCentre == other.dataCentre && slots == other.slots
            && isDraining == other.isDraining && incarnation == other.incarnation;
    }
};

} // namespace gypsumhub
