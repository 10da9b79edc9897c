#pragma once

#include "gypsumhub/config/selection_settings.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/service_model.h"
#include "gypsumhub/decision/selection/target_state.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// What is chosen for: the request's service and what matters for its loss.
struct selection_request {
    std::string_view service;
    bool isRetryable { false };
    /// Ids of the targets that this request was sent to before.
    std::span<const std::string> tried {};
};

/// How a choice came out.
struct selection {
    /// The target, or null when none is free.
    std::shared_ptr<target_state> target;
    double probabilityBad { 0 };
    /// No target is free, or a busy one is much better than the free ones.
    bool shouldWait { false };
    /// Targets of the service that could take requests, free or busy.
    uint32_t usable { 0 };
};

/// The probability that a target is bad, before and after an outcome was taken in.
struct belief_change {
    double before { 0 };
    double after { 0 };
};

/// All targets of a node's deployment, and what their outcomes say about them. Placement is by expected loss.
class target_board {
public:
    /// Finds the region of a data centre.
    using region_lookup = std::function<std::string(std::string_view)>;

    target_board(std::string dataCentre, region_lookup, selection_settings, uint64_t seed);

    /// Adds or changes a target. Another incarnation under the same id starts anew. A target that joins a running fleet gets
    /// a first request soon, since nothing else would ever show that it is sound.
    auto put(const target_registration&, time_point now, bool joins = false) -> void;
    auto remove(std::string_view id) -> void;
    auto find(std::string_view id) const -> std::shared_ptr<target_state>;

    auto choose(const selection_request&, time_point now) -> selection;

    /// A request goes to the target, and its answer has come or will not come.
    auto noteSent(target_state&, time_point now) -> void;
    auto noteEnded(target_state&) -> void;
    /// Takes in an outcome, of this node or told by another.
    auto observe(target_state&, outcome_kind, time_point sentAt, time_point now) -> belief_change;
    auto noteWork(target_state&, duration work) -> void;
    /// A request of the service has ended for its caller.
    auto noteEnd(std::string_view service, bool isServed, time_point now) -> void;
    /// The target declined a request for want of room.
    auto noteFull(target_state&, time_point now) -> void;

    auto model(std::string_view service) -> service_model&;
    auto targets() const -> const std::map<std::string, std::shared_ptr<target_state>, std::less<>>& { return m_targets; }

private:
    struct service_targets {
        service_model model;
        std::vector<std::shared_ptr<target_state>> targets;
        /// Requests that ended lately and those of them that were not served, fading.
        double outcomes { 0 };
        double failures { 0 };
        time_point outcomesAt {};
    };

    auto serviceOf(std::string_view name) -> service_targets&;
    auto expectedLoss(const target_state&, double bad, bool isRetryable, time_point now) const -> double;
    /// Whether less than the floor of the near targets have served lately.
    auto servesTooFew(const service_targets&, time_point now) const -> bool;
    auto distanceLoss(const target_state&) const -> double;

    std::string m_dataCentre;
    std::string m_region;
    region_lookup m_regionOf;
    selection_settings m_settings;
    random_generator m_random;
    std::map<std::string, std::shared_ptr<target_state>, std::less<>> m_targets;
    std::map<std::string, service_targets, std::less<>> m_services;
};

} // namespace gypsumhub
