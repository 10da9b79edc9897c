#pragma once

#include "gypsumhub/decision/selection/failure_rates.h"
#include "gypsumhub/decision/selection/health_estimate.h"

namespace gypsumhub {

/// Estimates the failure rates and the mean response time of a service from the outcomes of all its targets.
class service_model {
public:
    /// The current estimates.
    auto rates() const -> const failure_rates& { return m_rates; }
    /// Moving average of the time from sending a request to its successful answer.
    auto meanResponseTime() const -> duration { return m_meanResponseTime; }
    /// After this time without an answer a request counts as stalled.
    auto stallThreshold() const -> duration;

    /// Updates the failure rates. `bad` is the probability, before this outcome, that the target was in the bad state.
    auto recordOutcome(outcome_kind, double bad) -> void;
    /// Updates the mean state durations when the classification of a target changes. `length` is the time that the target was
    /// classified as good or as bad.
    auto recordGoodPeriod(duration length) -> void;
    auto recordBadPeriod(duration length) -> void;
    /// Updates the moving average with the response time of a successful request.
    auto recordResponseTime(duration) -> void;

private:
    // Priors: each estimate starts with pseudo-counts, so that the first outcomes do not dominate it.
    double m_goodOutcomes { 100 };
    double m_goodFailures { 1 };
    double m_badOutcomes { 10 };
    double m_badFailures { 8.5 };
    double m_goodPeriods { 2 };
    double m_goodSeconds { 60 };
    double m_badPeriods { 2 };
    double m_badSeconds { 12 };
    duration m_meanResponseTime { milliseconds(250) };
    double m_responseCount { 8 };
    failure_rates m_rates {};
};

} // namespace gypsumhub
