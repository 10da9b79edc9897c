#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/decision/evidence.h"
#include "gypsumhub/decision/health_state.h"
#include "gypsumhub/decision/target_load.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gypsumhub {

/// Status of a VM according to the platform's list.
enum class list_status : uint8_t {
    Live,
    Leaving,
    /// Registered and absent from the list.
    Gone,
};

/// The latest evidence that one peer sent about one target.
struct peer_evidence {
    node_key sender;
    evidence item;
};

/// An exchange that is late and still open.
struct overdue_exchange {
    time_point startedAt;
    /// When it next adds to the error score if it is still open.
    time_point hangCheckAt;
    /// Its part of the error score, in nats; subtracted if it ends in success.
    float score { 0 };
};

/// Sequential test statistics of one target from this node's own exchanges. All scores are in nats.
struct work_scores {
    /// CUSUM of the log likelihood ratio of "failing" against "healthy"; never below 0.
    float errorScore { 0 };
    /// CUSUM of the log likelihood ratio of "slow" against "as its siblings"; never below 0.
    float slowScore { 0 };
    /// Part of `errorScore` from reused connections without an answer.
    float connectionScore { 0 };
    /// Recent evidence of health, between `-creditLimit` and 0; decays with time, see `recentCredit`.
    float credit { 0 };
    /// Exchanges and failures of the last seconds; decay with time, see `recentWork`.
    float recentSamples { 0 };
    float recentFailures { 0 };
    uint32_t samples { 0 };
    uint32_t failuresInRow { 0 };
    /// Whether all failures since the last success may be caused by a failed path as well as by an unhealthy VM.
    bool onlyPathFailures { false };
    /// Exchanges that were reported overdue and have no final report yet.
    std::vector<overdue_exchange> overdue;
    /// When the error score is halved unless another failure occurs before.
    time_point decayAt { 0 };
    time_point lastSampleAt { 0 };
    time_point lastSuccessAt { 0 };
};

/// State of one target on the blackboard.
struct target_record {
    vm_key key;
    endpoint address;
    std::string name;
    std::string dataCentre;
    uint16_t slots { 0 };
    uint8_t distance { 0 };
    uint16_t slotShare { 0 };
    std::shared_ptr<target_load> load;

    list_status listed { list_status::Live };
    /// The target counts as leaving until this time, because it answered to this node or to a peer that it is draining.
    time_point drainingUntil { 0 };
    /// End of the slow start of a VM that became live.
    time_point slowStartUntil { 0 };

    health_state state { health_state::Healthy };
    uint16_t weight { 1000 };
    /// Until this time, an ejection for possible path failures waits for evidence from peers.
    time_point awaitPeersUntil { 0 };
    /// Whether this node's path to the target has probably failed and not the VM.
    bool pathSuspected { false };
    /// Whether the evidence exceeds the ejection threshold. The floor may still keep the target in rotation.
    bool unhealthy { false };
    /// Why the target is in its state, as text.
    std::string reason;

    work_scores scores;
    std::vector<peer_evidence> peerEvidence;

    /// The pooled score that led to the latest ejection.
    float ejectionScore { 0 };
    /// An ejected target gets no trial before this time.
    time_point ejectedUntil { 0 };
    /// Recent ejections that have not expired; each doubles the ejection time.
    uint32_t recentEjections { 0 };
    /// When the oldest recent ejection expires.
    time_point ejectionExpiresAt { 0 };
    time_point nextHealthCheckAt { 0 };
    /// Whether a health check on a new connection is needed although the target is in rotation.
    bool healthCheckRequested { false };
    /// Earliest time at which idle connections to the target may be closed again because of missing answers.
    time_point nextCloseAt { 0 };
    /// Earliest time of the next reply to a peer that suspects the target.
    time_point nextReplyAt { 0 };
    uint32_t healthChecksPassed { 0 };
    uint32_t trialSuccesses { 0 };
    /// A trial lasts at least until this time.
    time_point earliestTrialEnd { 0 };
    /// After the start of a trial, ejections by peers are ignored until this time.
    time_point ignorePeerEjectionsUntil { 0 };

    /// The evidence that was last sent to the group.
    evidence lastSent;
    /// When `lastSent` must be sent again if it still holds, so that it does not expire at the receivers.
    time_point resendAt { 0 };
};

/// Exchanges and failures of the last seconds, with decay.
struct recent_work {
    float samples { 0 };
    float failures { 0 };
};

/// The target's recent exchanges and failures, decayed to `now`.
inline auto recentWork(const work_scores& scores, time_point now) -> recent_work
{
    constexpr auto memory = seconds(3);
    auto share = 1 - static_cast<float>((now - scores.lastSampleAt).ns) / static_cast<float>(memory.ns);
    share = share < 0 ? 0 : share;
    return { scores.recentSamples * share, scores.recentFailures * share };
}

/// The target's credit, decayed to `now`: old successes are no evidence about a fault that began later.
inline auto recentCredit(const work_scores& scores, time_point now) -> float
{
    constexpr auto lifetime = seconds(5);
    auto share = 1 - static_cast<float>((now - scores.lastSampleAt).ns) / static_cast<float>(lifetime.ns);
    return share < 0 ? 0 : scores.credit * share;
}

/// Weight of an unhealthy target that the floor keeps in rotation, in thousandths.
constexpr auto unhealthyWeight = uint16_t { 100 };

/// Whether request threads may send requests to the target.
inline auto isInRotation(const target_record& target) -> bool
{
    return target.state != health_state::Ejected && target.state != health_state::Leaving;
}

/// Whether the target is leaving or gone, according to the platform's list or to its own draining answer.
inline auto isDeparting(const target_record& target, time_point now) -> bool
{
    return target.listed != list_status::Live || target.drainingUntil > now;
}

} // namespace gypsumhub
