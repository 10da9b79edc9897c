#pragma once

#include "gypsumhub/decision/selection/failure_rates.h"

namespace gypsumhub {

/// The evidence that an outcome gives about its target.
enum class outcome_kind : uint8_t {
    /// A complete answer that does not report a failure of the target.
    Success,
    /// The target failed the request.
    Failure,
    /// No answer after a time in which most requests of the service are answered.
    Stall,
};

/// The probability that one target is in the bad state, filtered from its outcomes by a continuous-time hidden Markov model with
/// two states.
class health_estimate {
public:
    /// Starts at the long-run share of bad targets of the service.
    health_estimate(time_point now, const failure_rates&);

    /// The probability at `now`. Without new outcomes it converges to the long-run share.
    auto probabilityBad(time_point now, const failure_rates&) const -> double;

    /// Updates the estimate with the outcome of a request that was sent at `sentAt`. A success that was sent before the last
    /// failure is ignored, since it gives no evidence about the time after that failure.
    auto observe(outcome_kind, time_point sentAt, time_point now, const failure_rates&) -> void;

    /// The send time of the latest outcome that was used.
    auto lastEvidenceAt() const -> time_point { return m_evidenceAt; }

private:
    double m_probabilityBad;
    time_point m_evidenceAt;
    time_point m_lastFailureAt {};
};

} // namespace gypsumhub
