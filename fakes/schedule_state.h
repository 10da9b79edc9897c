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

/// One caller's request on its way through the model.
struct modelled_request {
    request_state state;
    size_t node { 0 };
    time_point deadline;
    bool idempotent { false };
    uint32_t callerAttempt { 1 };
    uint32_t runs { 0 };
    uint32_t tries { 0 };
    bool sent { false };
    bool done { false };
    std::vector<size_t> tried;
};
using request_ptr = std::shared_ptr<modelled_request>;

/// Something that happens at an instant; equal instants keep their order.
struct timed_action {
    time_point at;
    uint64_t order { 0 };
    std::function<void()> action;

    auto operator<(const timed_action& other) const -> bool { return std::pair(other.at, other.order) < std::pair(at, order); }
};

/// One node's request policy.
struct modelled_node {
    admission_queue queue { 256 };
    retry_budget budget;
    std::map<uint64_t, request_ptr> waiting;
    uint64_t nextWaiter { 1 };
};

} // namespace gypsumhub
