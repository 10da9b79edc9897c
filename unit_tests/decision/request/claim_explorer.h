#pragma once

#include "gypsumhub/decision/request/claim_coordinator.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// Faults that an exploration of all event orders includes, and how many of each.
struct exploration_limits {
    /// Whether the caller numbers its attempts; otherwise both have no number.
    bool numbered { true };
    /// Messages that may be lost or duplicated, and nodes that may crash.
    int losses { 0 };
    int duplicates { 0 };
    int crashes { 0 };
    /// Whether the register changes, at a different time on each node.
    bool registerChanges { false };
    /// Whether deadlines may pass while messages are in flight.
    bool timePasses { true };
    std::shared_ptr<const claim_policy> policy { std::make_shared<claim_policy>() };
};

/// Result of an exploration.
struct exploration_result {
    size_t states { 0 };
    /// Empty, or the guarantee that was violated.
    std::string violation;
    /// States in which the first attempt ran, the second ran, and an answer was replayed; shows that the exploration reaches them.
    size_t firstRan { 0 };
    size_t secondRan { 0 };
    size_t replayed { 0 };
};

/// Explores every order of events that the limits allow for one key with two attempts.
auto explore(const exploration_limits&) -> exploration_result;

} // namespace gypsumhub
