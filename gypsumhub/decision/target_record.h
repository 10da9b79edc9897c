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

/// What the platform's list says about a VM.
enum class list_status : uint8_t {
    Live,
    Leaving,
    /// Registered and absent from the list.
    Gone,
};

/// The latest evidence of one peer about one target.
struct peer_evidence {
    node_key sender;
    evidence item;
};

/// An exchange that is late and still open.
struct overdue_exchange {
    time_point startedAt;
    /// When it is next counted as evidence for still being open.
    time_point hangCheckAt;
    /// Its part of the error score; taken back if it ends in success.
    float score { 0 };
};

/// Sequential test statistics of one target from this node's own exchanges. All scores are in nats.
struct work_scores {
    /// CUSUM of "failing" against "healthy"; never below 0.
    float errorScore { 0 };
    /// CUSUM of "slow" against "as its siblings"; never below 0.
    float slowScore { 0 };
    /// Part of `errorScore` that rests on silence of reused connections.
    float connectionScore { 0 };
    /// Recent evidence of health, between `-maxCredit` and 0; fades with time.
    float credit { 0 };
    /// Exchanges and failures of the last seconds; they fade with time.
    float recentSamples { 0 };
    float recentFailures { 0 };
    uint32_t samples { 0 };
    uint32_t failuresInRow { 0 };
    /// Whether the latest failures are all of the kind that a broken path explains as well as a sick VM.
    bool pathLike { false };
    /// Exchanges reported overdue whose final report is still to come.
    std::vector<overdue_exchange> overdue;
    /// When suspicion that no further failure confirmed is halved.
    time_point fadeAt { 0 };
    time_point lastSampleAt { 0 };
    time_point lastSuccessAt { 0 };
};

/// One target on the blackboard.
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
    /// Until when the target's own draining answer counts, here or at a peer.
    time_point drainingUntil { 0 };
    /// Until when a newly live VM is granted its cold start.
    time_point graceUntil { 0 };

    health_state state { health_state::Healthy };
    uint16_t weight { 1000 };
    /// Until when conviction waits for what the group says about a path-like failure.
    time_point askUntil { 0 };
    /// Whether trouble is with this node's path to the target and not with the VM.
    bool pathSuspect { false };
    /// Whether the evidence suffices for ejection, whatever the floor allows.
    bool convicted { false };
    /// Why the target is in its state, for people.
    std::string reason;

    work_scores scores;
    std::vector<peer_evidence> peerEvidence;

    /// The pooled score that led to the latest ejection.
    float ejectionScore { 0 };
    /// Until when an ejected target gets no trial.
    time_point setAsideUntil { 0 };
    /// Ejections that have not been forgotten yet.
    uint32_t recentEjections { 0 };
    /// When the oldest remembered ejection is forgotten.
    time_point forgiveAt { 0 };
    time_point nextProbeAt { 0 };
    /// Whether a new connection should be tried although the target is in rotation.
    bool probeWanted { false };
    /// When connections to the target may next be closed for silence.
    time_point nextCloseAt { 0 };
    /// When a peer that accuses the target may next be told otherwise.
    time_point nextReplyAt { 0 };
    uint32_t probesPassed { 0 };
    uint32_t trialSuccesses { 0 };
    /// Until when a trial lasts at least.
    time_point trialUntil { 0 };
    /// From when on peers are followed again in ejecting the target, after it was put on trial.
    time_point followFrom { 0 };

    /// What the group was told last.
    evidence lastSent;
    /// When the last message loses its validity and must be repeated if it still holds.
    time_point resendAt { 0 };
};

/// Exchanges and failures of the last seconds.
struct recent_work {
    float samples { 0 };
    float failures { 0 };
};

/// The target's recent work, faded to `now`.
inline auto recentWork(const work_scores& scores, time_point now) -> recent_work
{
    constexpr auto memory = seconds(3);
    auto share = 1 - static_cast<float>((now - scores.lastSampleAt).ns) / static_cast<float>(memory.ns);
    share = share < 0 ? 0 : share;
    return { scores.recentSamples * share, scores.recentFailures * share };
}

/// The target's credit, faded to `now`: old successes say nothing about a fault that began since.
inline auto recentCredit(const work_scores& scores, time_point now) -> float
{
    constexpr auto lifetime = seconds(5);
    auto share = 1 - static_cast<float>((now - scores.lastSampleAt).ns) / static_cast<float>(lifetime.ns);
    return share < 0 ? 0 : scores.credit * share;
}

/// Weight of a target that should be out but is kept in by the floor, in thousandths of a full turn.
constexpr auto convictedWeight = uint16_t { 100 };

/// Whether request threads may give the target work.
inline auto isInRotation(const target_record& target) -> bool
{
    return target.state != health_state::Ejected && target.state != health_state::Leaving;
}

/// Whether the target is leaving or gone, by the platform's list or by its own word.
inline auto isDeparting(const target_record& target, time_point now) -> bool
{
    return target.listed != list_status::Live || target.drainingUntil > now;
}

} // namespace gypsumhub
