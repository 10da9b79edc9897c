#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gypsumhub {

struct fleet_customer {
    std::string name;
    double rate { 10 };
    double burst { 0 };
    /// Requests per second over all busy nodes.
    double demand { 10 };
    size_t busyNodes { 1 };
    /// All requests arrive at nodes of this data centre.
    std::optional<size_t> busyDataCentre {};
    std::vector<time_point> used {};
    size_t overLimit { 0 };
    size_t unavailable { 0 };

    auto refused() const -> size_t { return overLimit + unavailable; }
};

struct fleet_fault {
    enum class kind : uint8_t {
        /// The distributor of the fleet, or of the other data centre with the lowest index, of the first customer ends for good.
        LoseFleetDistributor,
        LoseDistributor,
        /// Every second node of each data centre is cut off from the others and from the store. They reach each other.
        CutHalf,
        /// The data centre with the distributor of the fleet is cut off from the others and from the store.
        CutFleetDataCentre,
        Reconnect,
        RestartAll,
        /// Nodes learn another rate of the first customer within `learnTime`.
        ChangeRate,
    };
    time_point at;
    kind what;
    double rate { 0 };
};

} // namespace gypsumhub
