#pragma once

#include "gypsumhub/config/selection_settings.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/cost_model.h"
#include "gypsumhub/decision/selection/held_permits.h"
#include "gypsumhub/decision/selection/known_limits.h"
#include "gypsumhub/decision/selection/leaving_targets.h"
#include "gypsumhub/decision/selection/outcome_relevance.h"
#include "gypsumhub/decision/selection/permit_outlook.h"
#include "gypsumhub/decision/selection/request_cost.h"
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

/// A request for which a target is chosen: its service and the properties on which the expected loss depends.
struct selection_request {
    std::string_view service;
    bool isRetryable { false };
    /// Ids of the targets to which this request was already sent. They are not chosen again.
    std::span<const std::string> tried {};
    /// The expected work of the request where the cost of requests is learned, otherwise null.
    const request_cost* cost { nullptr };
};

/// The result of a choice.
struct selection {
    /// The target, or null when none is free.
    std::shared_ptr<target_state> target;
    double probabilityBad { 0 };
    /// No target is free, or a busy one has a much lower expected loss than the free ones.
    bool shouldWait { false };
    /// Targets of the service that accept requests, free or busy.
    uint32_t usable { 0 };
    /// The target that would be chosen if this node held a permit for it, or null. Permits are requested for targets with a limit.
    std::shared_ptr<target_state> needsPermit {};
    /// What the limits of the targets allow, if all usable ones state a limit.
    std::optional<permit_outlook> outlook {};
};

/// The targets known to a node, with the load, health and response times observed at them. Chooses the target with the least
/// expected loss, in units of one lost request.
class load_balancer {
public:
    /// Finds the region of a data centre.
    using region_lookup = std::function<std::string(std::string_view)>;

    load_balancer(std::string dataCentre, region_lookup, selection_settings, uint64_t seed);

    /// Adds or updates a target. Another incarnation, service or address under the same id resets its state. A target that joins a
    /// running fleet receives a trial request soon, since without one there would never be evidence that it is healthy.
    auto put(const target_registration&, time_point now, bool isJoining = false) -> void;
    auto remove(std::string_view id) -> void;
    auto find(std::string_view id) const -> std::shared_ptr<target_state>;

    /// Chooses a target without taking one of its slots; the caller does that with `recordSent`.
    auto choose(const selection_request&, time_point now) -> selection;

    /// Takes a slot of the target for a request that is sent to it.
    /// Uses up a permit if the target states a limit. Returns until when the request must be sent.
    auto recordSent(target_state&, time_point now) -> time_point;
    /// Frees the slot after the answer was received or is no longer expected.
    auto recordCompleted(target_state&) -> void;
    /// Updates the health of the target with an outcome seen by this node or received from a peer.
    auto observe(target_state&, outcome_kind, time_point sentAt, time_point now) -> health_change;
    /// Updates the response times of the target and of its service with those of a successful request.
    auto recordResponseTime(target_state&, duration responseTime) -> void;
    /// The same where the cost of requests is learned. `expected` is the estimate with which the request was sent.
    auto recordResponseTime(target_state&, const cost_features&, const cost_estimate& expected, duration responseTime, time_point now) -> void;
    /// After this time without an answer a request counts as stalled.
    auto stallThreshold(const target_state&, const request_cost&, time_point now) -> duration;
    /// Forgets the health of those targets of the service whose latest path failure was at `since` or later, as the fault was this
    /// node's.
    auto forgetPathFailures(std::string_view service, time_point since, time_point now) -> void;
    /// Records that a target stated in an answer to this node, or to another one, that it is leaving. Returns whether that is new.
    auto recordLeavingAnswer(const leaving_target&, time_point now) -> bool;
    auto recordLeavingReport(const leaving_target&, time_point now) -> bool;
    /// Starts a backoff after the target declined a request because it was full.
    auto recordFull(target_state&, time_point now) -> void;
    /// Records that the target asked this node for a pause. A shorter one does not end a longer one. Returns whether it is new.
    auto recordPause(target_state&, duration length, time_point now) -> bool;
    /// The earliest end of a pause while all targets of the service that are not leaving are paused, otherwise zero.
    auto pausedUntil(std::string_view service, time_point now) -> time_point;

    /// Whether all targets of the service run at most `few_slots` requests at once, so that what each request costs counts.
    auto hasFewSlots(std::string_view service) -> bool;

    auto model(std::string_view service) -> service_model&;
    /// The learned cost of requests.
    auto costs() const -> const cost_model& { return m_costs; }
    /// The targets of the service in this data centre that accept requests and have received none from this node for `idle`.
    auto idleCount(std::string_view service, duration idle, time_point now) -> size_t;
    auto targetsOf(std::string_view service) -> const std::vector<std::shared_ptr<target_state>>& { return serviceOf(service).targets; }
    /// The rate limits of the targets, and the permits of this node to send requests to them.
    auto limits() -> known_limits& { return m_limits; }
    auto limits() const -> const known_limits& { return m_limits; }
    auto permits() -> held_permits& { return m_permits; }
    auto leavingTargets() const -> const leaving_targets& { return m_leaving; }
    auto targets() const -> const std::map<std::string, std::shared_ptr<target_state>, std::less<>>& { return m_targets; }

private:
    /// The targets of one service with the statistics of the service.
    struct service_targets {
        service_model model;
        std::vector<std::shared_ptr<target_state>> targets;
    };

    auto serviceOf(std::string_view name) -> service_targets&;
    /// Whether the target may receive the request, now or when a slot is free.
    static auto isChoosable(const target_state&, const selection_request&, time_point now) -> bool;
    auto updateLeaving(std::string_view id) -> void;
    auto expectedLoss(const target_state&, double bad, const selection_request&, time_point now) const -> double;
    /// The expected losses where the cost of requests is learned, in the order of the targets. Infinite for those that take no request now.
    auto lossesByCost(service_targets&, const selection_request&, time_point now) const -> std::vector<double>;
    /// The part of the expected loss that depends on the share of the slots in use.
    auto loadLoss(const target_state&) const -> double;
    /// The loss from an answer that is late or takes long.
    auto timeLoss(const target_state&, const request_cost&, duration meanWork, time_point now) const -> double;
    /// Whether at most the allowed number of targets of this data centre rest.
    auto mayRest(const service_targets&, time_point now) const -> bool;
    /// Subtracted from the loss of a target of this data centre that needs a request.
    auto explorationGain(const target_state&, double bad, const selection_request&, bool isRestAllowed, time_point now) const -> double;
    /// Updates the mean state durations of the service when the classification of the target changes.
    auto classify(target_state&, double bad, time_point now) -> void;
    /// Adds what the limit of a usable target allows. Called for all of them in turn, also with no limit.
    auto addOutlook(selection&, const target_limit*, bool isFull, time_point now) const -> void;
    /// Zero in the own data centre, otherwise `otherDataCentreLoss` or `otherRegionLoss` of the settings, and a share for the body.
    auto distanceLoss(const target_state&, const request_cost*) const -> double;

    std::string m_dataCentre;
    std::string m_region;
    region_lookup m_regionOf;
    selection_settings m_settings;
    random_generator m_random;
    known_limits m_limits;
    held_permits m_permits;
    leaving_targets m_leaving;
    cost_model m_costs;
    std::map<std::string, std::shared_ptr<target_state>, std::less<>> m_targets;
    std::map<std::string, service_targets, std::less<>> m_services;
};

} // namespace gypsumhub
