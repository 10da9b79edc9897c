#pragma once

#include "gypsumhub/decision/request/claim_coordinator.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// What may go wrong, and how often, while an exploration looks at every order of events.
struct exploration_limits {
    /// Whether the caller numbers its attempts; otherwise both carry no number.
    bool numbered { true };
    int losses { 0 };
    int duplicates { 0 };
    int crashes { 0 };
    /// Whether the register changes, at another moment on each node.
    bool registerChanges { false };
    /// Whether deadlines may pass while messages are under way.
    bool timePasses { true };
    std::shared_ptr<const claim_policy> policy { std::make_shared<claim_policy>() };
};

/// Result of an exploration.
struct exploration_result {
    size_t states { 0 };
    /// Empty, or the promise that was broken.
    std::string broken;
    /// States in which the first and the second attempt ran; shows that the exploration reaches them.
    size_t firstRan { 0 };
    size_t secondRan { 0 };
    size_t replayed { 0 };
};

/// Runs one key with two attempts through claim coordinators in every order of events that the limits allow.
auto explore(const exploration_limits&) -> exploration_result;

} // namespace gypsumhub
