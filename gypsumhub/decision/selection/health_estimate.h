#pragma once

#include "gypsumhub/decision/selection/failure_rates.h"

namespace gypsumhub {

/// What an outcome says about a target.
enum class outcome_kind : uint8_t {
    /// A complete answer that is no failure of the target.
    Success,
    /// The target failed the request.
    Failure,
    /// No answer yet, long after most requests of the service have one.
    Stall,
};

/// The probability that one target is in a bad episode: a two-state hidden Markov model in continuous time.
class health_estimate {
public:
    /// Starts at the service's share of bad targets.
    health_estimate(time_point now, const failure_rates&);

    /// The probability at `now`.
    auto probabilityBad(time_point now, const failure_rates&) const -> double;

    /// Takes in the outcome of a request that reached the target at `sentAt`. A success that was sent before the last
    /// failure says nothing about the time since.
    auto observe(outcome_kind, time_point sentAt, time_point now, const failure_rates&) -> void;

    /// When the last outcome was taken in.
    auto lastEvidenceAt() const -> time_point { return m_at; }

private:
    double m_bad;
    time_point m_at;
    time_point m_lastFailureAt {};
};

} // namespace gypsumhub
