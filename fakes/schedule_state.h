#pragma once

#include "gypsumhub/decision/request/admission_queue.h"
#include "gypsumhub/decision/request/request_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace gypsumhub {

/// State of one caller's request in the simulation.
struct modelled_request {
    request_state state;
    size_t node { 0 };
    time_point deadline;
    bool idempotent { false };
    /// Which of the caller's attempts this is, from 1.
    uint32_t callerAttempt { 1 };
    /// Number of times that a target ran the request.
    uint32_t runs { 0 };
    /// Number of attempts that the node has made.
    uint32_t attempts { 0 };
    /// Whether a connection to a target succeeded, so that the request was sent.
    bool sent { false };
    /// Whether the outcome of the request is final.
    bool done { false };
    std::vector<size_t> triedTargets;
};
using request_ptr = std::shared_ptr<modelled_request>;

/// An action at a point in time. Actions at the same time run in the order in which they were added.
struct timed_action {
    time_point at;
    uint64_t order { 0 };
    std::function<void()> action;

    auto operator<(const timed_action& other) const -> bool { return std::pair(other.at, other.order) < std::pair(at, order); }
};

/// Admission queue and retry budget of one node.
struct modelled_node {
    admission_queue queue { 256 };
    retry_budget budget;
    std::map<uint64_t, request_ptr> queued;
    uint64_t nextQueueId { 1 };
};

} // namespace gypsumhub
